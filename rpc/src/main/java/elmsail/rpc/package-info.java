/**
 * Calls between the tier's own processes: Protostuff messages in frames over TCP, one connection
 * for each pair of processes. A call completes once, with a response or with an error code that
 * says whether the peer may have executed it. An endpoint is confined to one event loop.
 */
package elmsail.rpc;
