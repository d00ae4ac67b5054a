package elmsail.rpc;

import elmsail.runtime.Timers;
import io.netty.channel.Channel;
import java.util.ArrayDeque;

/**
 * A process that is called: its connection, or the attempt to open one with the calls that are
 * queued for it. In one of three states: connected ({@link #connection} is set), connecting, or
 * idle until {@link #nextAttemptAt}. Used on the loop only.
 */
final class Peer {

  /** The time between the first two attempts to connect; it doubles up to the maximum. */
  static final long INITIAL_BACKOFF_MS = 150;

  static final long MAX_BACKOFF_MS = 1_000;
  static final int MAX_QUEUED_CALLS = 256;

  /** "ip:port". */
  final String address;

  /** The open connection, or null. */
  RpcConnection connection;

  /** Whether an attempt to connect was started and has not ended. */
  boolean connecting;

  /** The channel of the attempt to connect, or null. */
  Channel channel;

  Timers.Timer connectTimer;
  long connectDeadline;

  /** Whether the deadline was extended so that the sockets are read first, after a stall. */
  boolean connectDeadlineExtended;

  /** The instance that last completed a handshake at the address, or ANY_INSTANCE. */
  long instanceId = HandshakeHello.ANY_INSTANCE;

  /** No attempt to connect is started before this time. */
  long nextAttemptAt;

  private final ArrayDeque<PendingCall> queuedCalls = new ArrayDeque<>();
  private long queuedBytes;
  private long backoffMs;

  Peer(String address, long now) {
    this.address = address;
    nextAttemptAt = now;
  }

  /** Queues a call until the connection is open; false if the queue is full. */
  boolean enqueue(PendingCall call) {
    int bytes = call.frame.readableBytes();
    if (queuedCalls.size() >= MAX_QUEUED_CALLS
        || !queuedCalls.isEmpty() && queuedBytes + bytes > OutboundQueue.MAX_QUEUED_BYTES) {
      return false;
    }
    queuedBytes += bytes;
    queuedCalls.add(call);
    return true;
  }

  /** Removes a call that has failed meanwhile. */
  void dequeue(PendingCall call) {
    if (queuedCalls.remove(call)) {
      queuedBytes -= call.frame.readableBytes();
    }
  }

  /** Empties the queue; returns its calls in the order in which they were queued. */
  PendingCall[] drainQueue() {
    PendingCall[] all = queuedCalls.toArray(new PendingCall[0]);
    queuedCalls.clear();
    queuedBytes = 0;
    return all;
  }

  /** Delays the next attempt, as the last one failed. */
  void backOff(long now) {
    backoffMs = backoffMs == 0 ? INITIAL_BACKOFF_MS : Math.min(2 * backoffMs, MAX_BACKOFF_MS);
    nextAttemptAt = now + backoffMs;
  }

  /** The peer has responded: the next failure backs off by the initial time again. */
  void resetBackoff() {
    backoffMs = 0;
  }

  /** Whether it has not been used for so long that it can be forgotten. */
  boolean isExpired(long now) {
    return connection == null
        && !connecting
        && now - nextAttemptAt >= KeepaliveMonitor.IDLE_TIMEOUT_MS;
  }
}
