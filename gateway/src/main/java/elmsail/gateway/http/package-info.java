/**
 * What the gateway's packages share of HTTP: the names of headers, and the counters of what happens
 * to requests.
 */
package elmsail.gateway.http;
