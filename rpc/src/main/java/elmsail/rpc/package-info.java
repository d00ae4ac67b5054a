/**
 * Calls between the tier's own processes: frames over TCP with Protostuff messages in them, one
 * connection for each pair of processes. A call ends once, with its answer or with an error code
 * that says whether the peer may have run it. All of an endpoint runs on one event loop.
 */
package elmsail.rpc;
