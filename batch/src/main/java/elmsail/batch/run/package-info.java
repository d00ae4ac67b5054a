/**
 * The running of batch items at a gateway: which item is started when ({@code JobRunner}), how a
 * run ends ({@code ItemRunner}), how results are recorded ({@code ResultRecorder}), and how leases
 * are kept and jobs of failed gateways taken over ({@code LeaseKeeper}, {@code FailoverMonitor}).
 */
package elmsail.batch.run;
