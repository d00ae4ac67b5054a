/**
 * Handles a request in the gateway: matches its route, attempts it at servers until one of them
 * responds or the deadline passes, and relays one response. A request that must not run twice is
 * retried only if it certainly has not run.
 */
package elmsail.gateway.requests;
