/**
 * How a gateway reads and changes job records at the stores, with bounded caches of records, bodies
 * and result texts, and what the parts of its batch service share.
 */
package elmsail.batch.client;
