package elmsail.rpc;

import elmsail.runtime.Timers;
import io.netty.channel.Channel;
import java.util.ArrayDeque;

/**
 * The state of one called process: its connection, or the calls that are queued for one. Confined
 * to the event loop.
 */
final class Peer {

  /** The delay between connection attempts; doubles up to {@link #MAX_BACKOFF_MS}. */
  static final long INITIAL_BACKOFF_MS = 150;

  static final long MAX_BACKOFF_MS = 1_000;
  static final int MAX_QUEUED_CALLS = 256;

  final String address;
  RpcConnection connection;
  boolean connecting;
  Channel channel;
  Timers.Timer connectTimer;
  long connectDeadline;
  boolean connectDeadlineExtended;
  final ArrayDeque<PendingCall> queuedCalls = new ArrayDeque<>();
  private long queuedBytes;
  private long backoffMs;

  /**
   * The instance of the last complete handshake; {@link HandshakeHello#ANY_INSTANCE} before the
   * first.
   */
  long instanceId = HandshakeHello.ANY_INSTANCE;

  /** No connection attempt begins before this time. */
  long nextAttemptAt;

  Peer(String address, long now) {
    this.address = address;
    nextAttemptAt = now;
  }

  /** Queues a call; false if the queue is full. */
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

  void dequeue(PendingCall call) {
    if (queuedCalls.remove(call)) {
      queuedBytes -= call.frame.readableBytes();
    }
  }

  PendingCall[] drainQueue() {
    PendingCall[] all = queuedCalls.toArray(new PendingCall[0]);
    queuedCalls.clear();
    queuedBytes = 0;
    return all;
  }

  /** A connection attempt failed. */
  void backOff(long now) {
    backoffMs = backoffMs == 0 ? INITIAL_BACKOFF_MS : Math.min(2 * backoffMs, MAX_BACKOFF_MS);
    nextAttemptAt = now + backoffMs;
  }

  /** The peer responded. */
  void resetBackoff() {
    backoffMs = 0;
  }

  boolean isExpired(long now) {
    return connection == null
        && !connecting
        && now - nextAttemptAt >= KeepaliveMonitor.IDLE_TIMEOUT_MS;
  }
}
