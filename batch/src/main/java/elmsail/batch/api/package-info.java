/**
 * The batch calls of clients at a gateway: a job is submitted, read and cancelled. Each call is
 * replied to within a bounded time, also where the stores do not respond.
 */
package elmsail.batch.api;
