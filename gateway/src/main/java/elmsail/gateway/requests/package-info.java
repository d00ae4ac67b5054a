/**
 * The way of a request through the gateway: its route is found, attempts are made at servers until
 * one responds or the deadline passes, and one response is relayed. A request that must not run
 * twice is retried only where it certainly has not run.
 */
package elmsail.gateway.requests;
