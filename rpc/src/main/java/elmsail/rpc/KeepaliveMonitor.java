package elmsail.rpc;

import elmsail.runtime.Timers;

/**
 * Watches over one connection. The side that opened it pings when nothing was heard while something
 * is outstanding or was a moment ago, and closes it when that brings nothing; the other side
 * answers, and closes only what has long been left.
 */
final class KeepaliveMonitor {

  /** All in ms. */
  static final long KEEPALIVE_TIME_MS = 400;

  static final long KEEPALIVE_TIMEOUT_MS = 1_200;
  static final long RECENT_USE_MS = 5_000;
  static final long IDLE_TIMEOUT_MS = 60_000;

  /** An accepted connection that its opener has not used, nor closed. */
  static final long ACCEPTED_IDLE_TIMEOUT_MS = 2 * IDLE_TIMEOUT_MS;

  /** An accepted connection whose answers nobody takes. */
  static final long WRITE_STALL_TIMEOUT_MS = 10_000;

  static final long RECHECK_DELAY_MS = 10;

  private final Timers timers;
  private final RpcCounters counters;
  private final OutboundQueue out;
  private final CallTable<?> calls;
  private final boolean client;
  private final Runnable close;
  private boolean closed;
  private long lastReceivedAt;
  private long lastUsedAt;

  /** Since when something is outstanding; -1 if nothing is. */
  private long outstandingSince = -1;

  private boolean pingOutstanding;
  private boolean recheckScheduled;

  /**
   * For one connection.
   *
   * @param opener whether this side opened the connection
   * @param close closes the connection
   */
  KeepaliveMonitor(
      Timers timers,
      RpcCounters counters,
      OutboundQueue out,
      CallTable<?> calls,
      boolean opener,
      Runnable close) {
    this.timers = timers;
    this.counters = counters;
    this.out = out;
    this.calls = calls;
    this.client = opener;
    this.close = close;
    lastReceivedAt = timers.now();
    lastUsedAt = lastReceivedAt;
  }

  /** The connection was closed: nothing is judged any more. */
  void onClosed() {
    closed = true;
  }

  /** A call goes out. */
  void onRequestSent() {
    lastUsedAt = timers.now();
    if (outstandingSince < 0) {
      outstandingSince = lastUsedAt;
    }
  }

  /** Bytes have come. */
  void onBytesReceived() {
    pingOutstanding = false;
    lastReceivedAt = timers.now();
  }

  /** The bytes that have just come hold a call. */
  void onRequestReceived() {
    lastUsedAt = lastReceivedAt;
  }

  /** The process was held up for so long: what the peer said meanwhile has not been looked at. */
  void extendAfterStall(long ms) {
    long now = timers.now();
    lastReceivedAt = Math.min(now, lastReceivedAt + ms);
    if (outstandingSince >= 0) {
      outstandingSince = Math.min(now, outstandingSince + ms);
    }
  }

  /** Looks after the connection; true if it needs that again soon. */
  boolean sweep() {
    long now = timers.now();
    recordWriteProgress(now);
    if (!client) {
      long idleMs = now - lastReceivedAt;
      if (idleMs >= ACCEPTED_IDLE_TIMEOUT_MS
          || idleMs >= WRITE_STALL_TIMEOUT_MS && !out.isEmpty()) {
        close.run();
      }
      return false;
    }
    if (!hasOutstanding()) {
      outstandingSince = -1;
      if (now - lastUsedAt >= RECENT_USE_MS) {
        if (now - lastUsedAt >= IDLE_TIMEOUT_MS) {
          close.run();
        }
        return false;
      }
    } else if (outstandingSince < 0) {
      outstandingSince = now;
    }
    long idleMs = now - Math.max(lastReceivedAt, outstandingSince);
    if (idleMs >= KEEPALIVE_TIMEOUT_MS && hasOutstanding()) {
      if (!recheckScheduled) {
        recheckScheduled = true;
        long dueAt = now + RECHECK_DELAY_MS;
        timers.schedule(RECHECK_DELAY_MS, () -> recheckTimeout(dueAt));
      }
    } else if (idleMs >= KEEPALIVE_TIME_MS && !pingOutstanding) {
      sendPing(now);
    }
    return true;
  }

  private void sendPing(long now) {
    pingOutstanding = true;
    counters.pings++;
    if (outstandingSince < 0) {
      outstandingSince = now;
    }
    out.write(Frame.withoutPayload(Frame.PING, 0));
  }

  private void recheckTimeout(long dueAt) {
    long now = timers.now();
    if (now - dueAt > ConnectionSweeper.STALL_THRESHOLD_MS) {
      timers.schedule(RECHECK_DELAY_MS, () -> recheckTimeout(now + RECHECK_DELAY_MS));
      return;
    }
    recheckScheduled = false;
    recordWriteProgress(now);
    if (!closed
        && hasOutstanding()
        && now - Math.max(lastReceivedAt, outstandingSince) >= KEEPALIVE_TIMEOUT_MS) {
      counters.keepaliveTimeouts++;
      close.run();
    }
  }

  private boolean hasOutstanding() {
    return pingOutstanding || !out.isEmpty() || !calls.isEmpty();
  }

  private void recordWriteProgress(long now) {
    if (out.hasProgressed()) {
      lastReceivedAt = now;
    }
  }
}
