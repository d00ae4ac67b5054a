/**
 * A request's way through the gateway: its route is found, attempts are made at servers until one
 * answers or the time is over, and the answer is passed on. What may not be run twice is sent again
 * only where it surely was not run.
 */
package elmsail.gateway.requests;
