/**
 * The batch calls of clients at a gateway: a job is submitted, read and ended. Each call is
 * answered within a bounded time, also where the stores do not answer.
 */
package elmsail.batch.api;
