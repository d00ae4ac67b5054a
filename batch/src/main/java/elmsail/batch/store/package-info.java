/**
 * The store's side of batch jobs: counts the waiting tokens of each tenant and route, tracks the
 * heartbeats of runners and drops jobs whose retention time is over. Records, bodies and results
 * themselves are kept by the replica of the store's voter set.
 */
package elmsail.batch.store;
