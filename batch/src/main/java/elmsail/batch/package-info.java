/**
 * Batch jobs: many items that a client submits in one call and reads back later. The packages below
 * hold the calls of clients, the messages and records, the stores' part and the running of the
 * items.
 */
package elmsail.batch;
