package elmsail.rpc;

import elmsail.runtime.Timers;
import io.netty.channel.EventLoop;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/**
 * A process's end of the RPC between the tier's processes, over TCP: one connection to each peer,
 * opened when the first call needs it, for all calls to that peer.
 *
 * <p>All methods but the constructor and {@link #register} must be called on the event loop, and
 * all futures complete on it.
 */
public final class RpcEndpoint implements RpcClient, RequestHandlers, AutoCloseable {

  private final RpcCounters counters = new RpcCounters();
  private final HandlerRegistry handlers = new HandlerRegistry();
  private final ConnectionSweeper sweeper;
  private final RpcServer server;
  private final OutboundCalls outboundCalls;
  private final InboundRequests inboundRequests;

  /** Drawn at each start: distinguishes the processes that use one address after each other. */
  private final long instanceId = drawInstanceId();

  /**
   * An endpoint that can call others; it is called by none before {@link #listen()}.
   *
   * @param loop the process's event loop
   * @param timers of the same loop
   * @param localAddress "ip:port" to listen at; port 0 lets the system choose one, see {@link
   *     #address()}
   */
  public RpcEndpoint(EventLoop loop, Timers timers, String localAddress) {
    RpcContext context = new RpcContext(loop, timers, new MessageCodec(), counters);
    RpcConnection.Listener connectionListener = new ConnectionListener();
    sweeper = new ConnectionSweeper(timers, this::connections, this::hasNoPeers);
    server =
        new RpcServer(context, localAddress, instanceId, connectionListener, sweeper::sweepSoon);
    inboundRequests = new InboundRequests(context, handlers);
    outboundCalls =
        new OutboundCalls(
            context,
            server::localAddress,
            new LoopbackCalls(context, handlers),
            new Connector(context, connectionListener, sweeper::sweepSoon),
            sweeper::sweepSoon);
  }

  private static long drawInstanceId() {
    long drawn = new SecureRandom().nextLong();
    return drawn == HandshakeHello.ANY_INSTANCE ? 1 : drawn;
  }

  /** Drawn at each start; the hello of each connection carries it. */
  public long instanceId() {
    return instanceId;
  }

  /** What happened on the connections of this endpoint since its start. */
  public RpcCounters counters() {
    return counters;
  }

  /** Where this process listens, "ip:port". */
  public String address() {
    return server.localAddress();
  }

  @Override
  public <Q, A> void register(
      Class<Q> requestType, Function<Q, ? extends CompletionStage<A>> handler) {
    handlers.register(requestType, handler);
  }

  /**
   * Starts to listen. Completes once others can connect; fails with INVALID_SETTINGS if the address
   * cannot be listened at.
   */
  public CompletableFuture<Void> listen() {
    return server.listen();
  }

  @Override
  public <A> CompletableFuture<A> call(
      String address, Object request, Class<A> responseType, long timeoutMs) {
    return outboundCalls.call(address, request, responseType, timeoutMs);
  }

  private List<RpcConnection> connections() {
    List<RpcConnection> connections = new ArrayList<>(server.connections());
    connections.addAll(outboundCalls.connections());
    return connections;
  }

  private boolean hasNoPeers() {
    return !outboundCalls.hasPeers();
  }

  /**
   * Closes all connections. Open calls fail soon after with CONNECTION_LOST, queued ones with
   * NOT_SENT.
   */
  @Override
  public void close() {
    outboundCalls.rejectCalls();
    sweeper.close();
    server.close();
    outboundCalls.closeConnections();
  }

  /** Passes a connection's events to the side that owns it. */
  private final class ConnectionListener implements RpcConnection.Listener {
    @Override
    public void onRequest(RpcConnection connection, Frame request) {
      inboundRequests.handle(connection, request);
    }

    @Override
    public void onHandshakeComplete(RpcConnection connection) {
      if (connection.isOutbound()) {
        outboundCalls.onHandshakeComplete(connection);
      } else {
        connection.sendHello();
      }
    }

    @Override
    public void onClosed(RpcConnection connection) {
      if (connection.isOutbound()) {
        outboundCalls.onClosed(connection);
      } else {
        server.remove(connection);
      }
    }
  }
}
