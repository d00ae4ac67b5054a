/**
 * HTTP classes that the packages of the gateway share: header names, and the counters of request
 * events.
 */
package elmsail.gateway.http;
