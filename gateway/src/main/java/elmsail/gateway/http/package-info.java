/**
 * What the packages of the gateway share of HTTP: header names, and the counters of what happens to
 * requests.
 */
package elmsail.gateway.http;
