package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * The client side of an {@link RpcEndpoint}: sends each call over its peer's one connection, queues
 * it while that is being opened, and fails it at its deadline. Used on the loop only; a future
 * never completes inside {@link #call}.
 */
final class OutboundCalls {

  private final RpcContext context;
  private final Supplier<String> localAddress;
  private final LoopbackCalls loopbackCalls;
  private final Connector connector;
  private final Runnable sweepSoon;
  private final Map<String, Peer> peers = new HashMap<>();
  private boolean closed;
  private long lastCallId;

  /**
   * Wires the parts; nothing is opened yet.
   *
   * @param localAddress calls to this address are handled by {@code loopbackCalls}
   * @param sweepSoon called when something was sent
   */
  OutboundCalls(
      RpcContext context,
      Supplier<String> localAddress,
      LoopbackCalls loopbackCalls,
      Connector connector,
      Runnable sweepSoon) {
    this.context = context;
    this.localAddress = localAddress;
    this.loopbackCalls = loopbackCalls;
    this.connector = connector;
    this.sweepSoon = sweepSoon;
  }

  /** See {@link RpcClient#call}. */
  <A> CompletableFuture<A> call(
      String address, Object request, Class<A> responseType, long timeoutMs) {
    context.counters().calls++;
    long waitMs = Math.max(0, timeoutMs);
    PendingCall call =
        new PendingCall(
            ++lastCallId,
            address,
            request == null ? null : request.getClass(),
            responseType,
            context.timers().now() + waitMs,
            context.counters());
    call.timer = context.timers().schedule(waitMs, () -> onDeadline(call));
    if (closed) {
      failAsync(call, ErrorCode.NOT_SENT, "this endpoint is closed");
    } else {
      start(call, request);
    }
    // The future is completed with objects of the response type only: PendingCall checks it.
    @SuppressWarnings("unchecked")
    CompletableFuture<A> future = (CompletableFuture<A>) call.future;
    return future;
  }

  private void start(PendingCall call, Object request) {
    try {
      if (call.address.equals(localAddress.get())) {
        if (!loopbackCalls.start(call, request)) {
          failAsync(call, ErrorCode.RESOURCE_EXHAUSTED, "too many loopback calls are open");
        }
      } else {
        call.frame = Frame.message(context.codec(), Frame.REQUEST, call.callId, request);
        send(call);
      }
    } catch (ElmsailException e) {
      failAsync(call, e.code(), "request cannot be sent: " + e.detail());
    }
  }

  private void send(PendingCall call) {
    long now = context.timers().now();
    Peer peer = peers.get(call.address);
    if (peer == null) {
      peer = new Peer(call.address, now);
      peers.put(call.address, peer);
    }
    if (peer.connection != null) {
      if (peer.connection.send(call, call.frame)) {
        call.frame = null;
        sweepSoon.run();
      } else {
        failAsync(call, ErrorCode.RESOURCE_EXHAUSTED, "the connection's send queue is full");
      }
    } else if (!peer.connecting && now < peer.nextAttemptAt) {
      failAsync(call, ErrorCode.NOT_SENT, "the peer is in connect backoff");
    } else if (!peer.enqueue(call)) {
      failAsync(call, ErrorCode.RESOURCE_EXHAUSTED, "the queue for the connection is full");
    } else if (!peer.connecting) {
      peer.connecting = true;
      Peer target = peer;
      context.loop().execute(() -> connector.connect(target));
    }
  }

  private void failAsync(PendingCall call, ErrorCode code, String reason) {
    call.timer.cancel();
    context.timers().execute(() -> call.fail(code, reason));
  }

  /**
   * Fails the call. If the timer itself is late, the process was stalled and the response may be
   * waiting in the socket: the deadline is extended once, so that sockets are read first.
   */
  private void onDeadline(PendingCall call) {
    boolean stalled = context.timers().now() - call.deadline > ConnectionSweeper.STALL_THRESHOLD_MS;
    if (!call.deadlineExtended && stalled) {
      call.deadlineExtended = true;
      call.timer =
          context.timers().schedule(KeepaliveMonitor.RECHECK_DELAY_MS, () -> onDeadline(call));
      return;
    }
    if (call.connection != null) {
      call.connection.abandon(call);
    } else if (call.frame != null) {
      Peer peer = peers.get(call.address);
      if (peer != null) {
        peer.dequeue(call);
      }
      call.fail(ErrorCode.NOT_SENT, "no connection before the deadline");
      return;
    }
    call.fail(ErrorCode.TIMEOUT, "no response before the deadline");
  }

  /** The peer of an outbound connection has identified itself as the intended process. */
  void onHandshakeComplete(RpcConnection connection) {
    Peer peer = connection.peer;
    if (peer.instanceId != HandshakeHello.ANY_INSTANCE
        && peer.instanceId != connection.peerInstanceId()) {
      context.counters().newInstances++;
    }
    peer.instanceId = connection.peerInstanceId();
  }

  /** An outbound connection has closed; the next call may reconnect after the backoff. */
  void onClosed(RpcConnection connection) {
    Peer peer = connection.peer;
    if (peer.connection != connection) {
      return;
    }
    peer.connection = null;
    if (connection.isHandshakeComplete()) {
      peer.resetBackoff();
      peer.nextAttemptAt = context.timers().now();
    } else {
      peer.backOff(context.timers().now());
    }
  }

  boolean hasPeers() {
    return !peers.isEmpty();
  }

  /** The open connections to peers; peers that have not been called for long are dropped. */
  List<RpcConnection> connections() {
    long now = context.timers().now();
    peers.values().removeIf(peer -> peer.isExpired(now));
    List<RpcConnection> connections = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (peer.connection != null) {
        connections.add(peer.connection);
      }
    }
    return connections;
  }

  /** New calls fail with NOT_SENT, loopback calls that have not started with CONNECTION_LOST. */
  void rejectCalls() {
    closed = true;
    loopbackCalls.close();
    connector.close();
  }

  /** Closes all connections and attempts at one; calls on them fail soon after. */
  void closeConnections() {
    for (Peer peer : new ArrayList<>(peers.values())) {
      if (peer.connection != null) {
        peer.connection.close();
      }
      if (peer.channel != null) {
        peer.channel.close();
      }
    }
  }
}
