/**
 * A small HTTP/1.1 server and client on the event loop, for operators' calls, the readiness check
 * and the calls to the platform. Clients' requests do not come this way; the gateway has its own
 * connections.
 */
package elmsail.runtime.http;
