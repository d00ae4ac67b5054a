package elmsail.rpc;

import elmsail.runtime.Timers;

/**
 * Keepalive of one connection. The client side pings when nothing was received for a while although
 * requests are outstanding or were recently, and closes the connection if there is still no
 * response; the server side responds, and closes only connections that are idle for long.
 */
final class KeepaliveMonitor {

  static final long KEEPALIVE_TIME_MS = 400;

  static final long KEEPALIVE_TIMEOUT_MS = 1_200;
  static final long RECENT_USE_MS = 5_000;
  static final long IDLE_TIMEOUT_MS = 60_000;

  /** For an accepted connection that the client neither uses nor closes. */
  static final long ACCEPTED_IDLE_TIMEOUT_MS = 2 * IDLE_TIMEOUT_MS;

  /** For an accepted connection whose responses are not read. */
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

  /** The time since which something is outstanding; -1 if nothing is. */
  private long outstandingSince = -1;

  private boolean pingOutstanding;
  private boolean recheckScheduled;

  /**
   * Creates the monitor of one connection.
   *
   * @param client whether this side opened the connection
   * @param close closes the connection
   */
  KeepaliveMonitor(
      Timers timers,
      RpcCounters counters,
      OutboundQueue out,
      CallTable<?> calls,
      boolean client,
      Runnable close) {
    this.timers = timers;
    this.counters = counters;
    this.out = out;
    this.calls = calls;
    this.client = client;
    this.close = close;
    lastReceivedAt = timers.now();
    lastUsedAt = lastReceivedAt;
  }

  /** The connection was closed: stops monitoring. */
  void onClosed() {
    closed = true;
  }

  /** A request is being sent. */
  void onRequestSent() {
    lastUsedAt = timers.now();
    if (outstandingSince < 0) {
      outstandingSince = lastUsedAt;
    }
  }

  /** Bytes were received. */
  void onBytesReceived() {
    pingOutstanding = false;
    lastReceivedAt = timers.now();
  }

  /** The bytes just received contain a request. */
  void onRequestReceived() {
    lastUsedAt = lastReceivedAt;
  }

  /** The process was stalled for that long: what the peer sent meanwhile is still unread. */
  void extendAfterStall(long ms) {
    long now = timers.now();
    lastReceivedAt = Math.min(now, lastReceivedAt + ms);
    if (outstandingSince >= 0) {
      outstandingSince = Math.min(now, outstandingSince + ms);
    }
  }

  /** Sends a ping or closes the connection if due; true if the next sweep is needed soon. */
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
