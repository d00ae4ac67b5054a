package elmsail.rpc;

import elmsail.runtime.Timers;
import io.netty.channel.EventLoop;

/**
 * What the parts of one {@link RpcEndpoint} share.
 *
 * @param loop runs all connections, handlers and callbacks of the endpoint
 * @param timers of the same loop
 * @param codec used on the loop only
 * @param counters of the endpoint, written on the loop only
 */
record RpcContext(EventLoop loop, Timers timers, MessageCodec codec, RpcCounters counters) {}
