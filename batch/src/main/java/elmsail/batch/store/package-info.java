/**
 * The store's part of batch jobs: counts the waiting tokens of each tenant and route, tracks the
 * heartbeats of runners and drops jobs whose retention time is over. The records, bodies and
 * results are stored by the store process's replica of the voter set.
 */
package elmsail.batch.store;
