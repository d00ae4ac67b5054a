/**
 * The stores' part of batch jobs: bodies and results are kept beside the register's records, the
 * tokens that wait on each route are counted, and jobs whose time is over are removed.
 */
package elmsail.batch.store;
