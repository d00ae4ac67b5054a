/**
 * Remote procedure calls between the tier's own processes: frames over TCP with Protostuff messages
 * in them, one connection for each pair of processes. A call completes once, with its response or
 * with an {@link elmsail.runtime.ErrorCode} that says whether the peer may have executed it.
 *
 * <p>{@link elmsail.rpc.RpcEndpoint} wires the parts: {@code OutboundCalls} with {@code Peer} and
 * {@code Connector} for the client side, {@code RpcServer} and {@code InboundRequests} for the
 * server side, {@code RpcConnection} for one connection of either. All of an endpoint runs on one
 * event loop, and nothing here is synchronized.
 */
package elmsail.rpc;
