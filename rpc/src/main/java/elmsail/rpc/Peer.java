package elmsail.rpc;

import elmsail.runtime.Timers;
import io.netty.channel.Channel;
import java.util.ArrayDeque;

/**
 * What is kept for each process that was called: its connection, or the calls that wait for one.
 */
final class Peer {

  /** Ms between attempts at a connection. */
  static final long FIRST_PAUSE = 150;

  static final long LONGEST_PAUSE = 1_000;
  static final int MOST_WAITING = 256;

  final String address;
  RpcConnection connection;
  boolean connecting;
  Channel channel;
  Timers.Timer connectTimer;
  long connectDueAt;
  boolean looked;
  final ArrayDeque<PendingCall> waiting = new ArrayDeque<>();
  private long waitingBytes;
  private long pause;

  /** The instance that answered last at the address; {@link Hello#ANY_INSTANCE} before any did. */
  long instanceId = Hello.ANY_INSTANCE;

  /** No attempt before that time. */
  long retryAt;

  Peer(String address, long now) {
    this.address = address;
    retryAt = now;
  }

  /** False if too much waits already. */
  boolean queue(PendingCall call) {
    int bytes = call.frame.readableBytes();
    if (waiting.size() >= MOST_WAITING
        || !waiting.isEmpty() && waitingBytes + bytes > OutboundQueue.MOST_QUEUED_BYTES) {
      return false;
    }
    waitingBytes += bytes;
    waiting.add(call);
    return true;
  }

  void unqueue(PendingCall call) {
    if (waiting.remove(call)) {
      waitingBytes -= call.frame.readableBytes();
    }
  }

  PendingCall[] takeWaiting() {
    PendingCall[] all = waiting.toArray(new PendingCall[0]);
    waiting.clear();
    waitingBytes = 0;
    return all;
  }

  /** An attempt brought nothing. */
  void rest(long now) {
    pause = pause == 0 ? FIRST_PAUSE : Math.min(2 * pause, LONGEST_PAUSE);
    retryAt = now + pause;
  }

  /** The peer was heard. */
  void welcome() {
    pause = 0;
  }

  boolean unused(long now) {
    return connection == null && !connecting && now - retryAt >= Liveness.IDLE_FOR;
  }
}
