/**
 * Handles the batch calls of clients at a gateway: submitting, reading and cancelling jobs. Each
 * call gets a reply within a bounded time, even if the stores do not respond.
 */
package elmsail.batch.api;
