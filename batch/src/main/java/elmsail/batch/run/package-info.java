/**
 * The execution of batch items at a gateway: {@code JobRunner} dispatches items, {@code ItemRunner}
 * processes the outcome of runs, {@code ResultRecorder} records results, {@code LeaseKeeper} keeps
 * leases, and {@code FailoverMonitor} takes over the jobs of failed gateways.
 */
package elmsail.batch.run;
