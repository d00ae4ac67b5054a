/**
 * The gateway's client of the job stores, with bounded caches of records, bodies and result texts,
 * and the dependencies shared by the components of the gateway's batch service.
 */
package elmsail.batch.client;
