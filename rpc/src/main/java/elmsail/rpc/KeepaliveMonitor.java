package elmsail.rpc;

import elmsail.runtime.Timers;

/**
 * Detects that the other end of one connection has become unresponsive, and closes connections that
 * are no longer used. Driven by {@link ConnectionSweeper}, on the loop.
 *
 * <p>The side that opened the connection sends a ping when it has received nothing for {@link
 * #KEEPALIVE_TIME_MS} while a response is outstanding or was a moment ago, and closes the
 * connection when that brings nothing either. Bytes of any kind, and bytes that the peer's machine
 * acknowledged, count as activity. The accepting side responds to pings, and closes only what has
 * been abandoned.
 */
final class KeepaliveMonitor {

  /** Without activity for this long, a ping is sent. */
  static final long KEEPALIVE_TIME_MS = 400;

  /** Without activity for this long while something is outstanding, the connection is closed. */
  static final long KEEPALIVE_TIMEOUT_MS = 1_200;

  /** For this long after a call the connection is still pinged. */
  static final long RECENT_USE_MS = 5_000;

  /** An outbound connection without calls for this long is closed. */
  static final long IDLE_TIMEOUT_MS = 60_000;

  /** An accepted connection without activity for this long is closed. */
  static final long ACCEPTED_IDLE_TIMEOUT_MS = 2 * IDLE_TIMEOUT_MS;

  /** An accepted connection whose responses are not read for this long is closed. */
  static final long WRITE_STALL_TIMEOUT_MS = 10_000;

  /** How long the sockets are given to be read before a time-out is acted upon. */
  static final long RECHECK_DELAY_MS = 10;

  private static final long NOTHING_OUTSTANDING = -1;

  private final Timers timers;
  private final RpcCounters counters;
  private final OutboundQueue outbound;
  private final CallTable<?> calls;
  private final boolean client;
  private final Runnable close;
  private boolean closed;
  private long lastReceivedAt;
  private long lastUsedAt;
  private long outstandingSince = NOTHING_OUTSTANDING;
  private boolean pingOutstanding;
  private boolean recheckScheduled;

  /**
   * A monitor of one connection.
   *
   * @param client whether this side opened the connection
   * @param close closes the connection
   */
  KeepaliveMonitor(
      RpcContext context,
      OutboundQueue outbound,
      CallTable<?> calls,
      boolean client,
      Runnable close) {
    timers = context.timers();
    counters = context.counters();
    this.outbound = outbound;
    this.calls = calls;
    this.client = client;
    this.close = close;
    lastReceivedAt = timers.now();
    lastUsedAt = lastReceivedAt;
  }

  /** The connection has closed. */
  void onClosed() {
    closed = true;
  }

  /** A request is about to be sent. */
  void onRequestSent() {
    lastUsedAt = timers.now();
    if (outstandingSince == NOTHING_OUTSTANDING) {
      outstandingSince = lastUsedAt;
    }
  }

  /** Bytes were received, of whatever kind. */
  void onBytesReceived() {
    pingOutstanding = false;
    lastReceivedAt = timers.now();
  }

  /** The bytes last received contain a request. */
  void onRequestReceived() {
    lastUsedAt = lastReceivedAt;
  }

  /**
   * Grants the peer the time for which this process was stalled: what it sent meanwhile has not
   * been read yet.
   */
  void extendAfterStall(long stalledMs) {
    long now = timers.now();
    lastReceivedAt = Math.min(now, lastReceivedAt + stalledMs);
    if (outstandingSince != NOTHING_OUTSTANDING) {
      outstandingSince = Math.min(now, outstandingSince + stalledMs);
    }
  }

  /** Pings or closes the connection if that is due; returns whether to sweep again soon. */
  boolean sweep() {
    long now = timers.now();
    recordWriteProgress(now);
    if (client) {
      return sweepClient(now);
    }
    long idleMs = now - lastReceivedAt;
    if (idleMs >= ACCEPTED_IDLE_TIMEOUT_MS
        || idleMs >= WRITE_STALL_TIMEOUT_MS && !outbound.isEmpty()) {
      close.run();
    }
    return false;
  }

  private boolean sweepClient(long now) {
    if (!hasOutstanding()) {
      outstandingSince = NOTHING_OUTSTANDING;
      if (now - lastUsedAt >= RECENT_USE_MS) {
        if (now - lastUsedAt >= IDLE_TIMEOUT_MS) {
          close.run();
        }
        return false;
      }
    } else if (outstandingSince == NOTHING_OUTSTANDING) {
      outstandingSince = now;
    }
    long idleMs = now - Math.max(lastReceivedAt, outstandingSince);
    if (idleMs >= KEEPALIVE_TIMEOUT_MS && hasOutstanding()) {
      if (!recheckScheduled) {
        recheckScheduled = true;
        scheduleRecheck(now);
      }
    } else if (idleMs >= KEEPALIVE_TIME_MS && !pingOutstanding) {
      sendPing(now);
    }
    return true;
  }

  private void sendPing(long now) {
    pingOutstanding = true;
    counters.pings++;
    if (outstandingSince == NOTHING_OUTSTANDING) {
      outstandingSince = now;
    }
    outbound.write(Frame.withoutPayload(Frame.PING, 0));
  }

  private void scheduleRecheck(long now) {
    long dueAt = now + RECHECK_DELAY_MS;
    timers.schedule(RECHECK_DELAY_MS, () -> recheckTimeout(dueAt));
  }

  /** Closes the connection if the time-out still holds after the sockets were read once more. */
  private void recheckTimeout(long dueAt) {
    long now = timers.now();
    if (now - dueAt > ConnectionSweeper.STALL_THRESHOLD_MS) {
      scheduleRecheck(now);
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
    return pingOutstanding || !outbound.isEmpty() || !calls.isEmpty();
  }

  private void recordWriteProgress(long now) {
    if (outbound.hasProgressed()) {
      lastReceivedAt = now;
    }
  }
}
