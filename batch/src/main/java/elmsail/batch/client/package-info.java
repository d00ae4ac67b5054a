/**
 * How a gateway reads job records, bodies and results at the stores, with caches of bounded size.
 */
package elmsail.batch.client;
