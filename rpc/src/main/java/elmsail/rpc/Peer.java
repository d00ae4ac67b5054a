package elmsail.rpc;

import elmsail.runtime.Timers;
import io.netty.channel.Channel;
import java.util.ArrayDeque;

/**
 * What is kept for each process that was called: its connection, or the calls that wait for one.
 */
final class Peer {

  /** Ms between attempts at a connection. */
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
   * The instance that answered last at the address; {@link HandshakeHello#ANY_INSTANCE} before any
   * did.
   */
  long instanceId = HandshakeHello.ANY_INSTANCE;

  /** No attempt before that time. */
  long nextAttemptAt;

  Peer(String address, long now) {
    this.address = address;
    nextAttemptAt = now;
  }

  /** False if too much waits already. */
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

  /** An attempt brought nothing. */
  void backOff(long now) {
    backoffMs = backoffMs == 0 ? INITIAL_BACKOFF_MS : Math.min(2 * backoffMs, MAX_BACKOFF_MS);
    nextAttemptAt = now + backoffMs;
  }

  /** The peer was heard. */
  void resetBackoff() {
    backoffMs = 0;
  }

  boolean isExpired(long now) {
    return connection == null
        && !connecting
        && now - nextAttemptAt >= KeepaliveMonitor.IDLE_TIMEOUT_MS;
  }
}
