package elmsail.rpc;

import elmsail.runtime.Timers;

/**
 * Watches over one connection. The side that opened it pings when nothing was heard while something
 * is outstanding or was a moment ago, and closes it when that brings nothing; the other side
 * answers, and closes only what has long been left.
 */
final class Liveness {

  /** All in ms. */
  static final long PING_AFTER = 400;

  static final long CLOSE_AFTER = 1_200;
  static final long IN_USE_FOR = 5_000;
  static final long IDLE_FOR = 60_000;

  /** An accepted connection that its opener has not used, nor closed. */
  static final long LEFT_FOR = 2 * IDLE_FOR;

  /** An accepted connection whose answers nobody takes. */
  static final long STUCK_FOR = 10_000;

  static final long LOOK_FOR = 10;

  private final Timers timers;
  private final RpcCounters counts;
  private final OutboundQueue out;
  private final CallTable<?> calls;
  private final boolean opener;
  private final Runnable close;
  private boolean ended;
  private long lastHeard;
  private long lastUsed;

  /** Since when something is outstanding; -1 if nothing is. */
  private long since = -1;

  private boolean pinged;
  private boolean suspected;

  /**
   * For one connection.
   *
   * @param opener whether this side opened the connection
   * @param close closes the connection
   */
  Liveness(
      Timers timers,
      RpcCounters counts,
      OutboundQueue out,
      CallTable<?> calls,
      boolean opener,
      Runnable close) {
    this.timers = timers;
    this.counts = counts;
    this.out = out;
    this.calls = calls;
    this.opener = opener;
    this.close = close;
    lastHeard = timers.now();
    lastUsed = lastHeard;
  }

  /** The connection was closed: nothing is judged any more. */
  void end() {
    ended = true;
  }

  /** A call goes out. */
  void called() {
    lastUsed = timers.now();
    if (since < 0) {
      since = lastUsed;
    }
  }

  /** Bytes have come. */
  void heard() {
    pinged = false;
    lastHeard = timers.now();
  }

  /** The bytes that have just come hold a call. */
  void asked() {
    lastUsed = lastHeard;
  }

  /** The process was held up for so long: what the peer said meanwhile has not been looked at. */
  void forgive(long ms) {
    long now = timers.now();
    lastHeard = Math.min(now, lastHeard + ms);
    if (since >= 0) {
      since = Math.min(now, since + ms);
    }
  }

  /** Looks after the connection; true if it needs that again soon. */
  boolean sweep() {
    long now = timers.now();
    progress(now);
    if (!opener) {
      long quiet = now - lastHeard;
      if (quiet >= LEFT_FOR || quiet >= STUCK_FOR && !out.isEmpty()) {
        close.run();
      }
      return false;
    }
    if (!outstanding()) {
      since = -1;
      if (now - lastUsed >= IN_USE_FOR) {
        if (now - lastUsed >= IDLE_FOR) {
          close.run();
        }
        return false;
      }
    } else if (since < 0) {
      since = now;
    }
    long quiet = now - Math.max(lastHeard, since);
    if (quiet >= CLOSE_AFTER && outstanding()) {
      if (!suspected) {
        suspected = true;
        long at = now + LOOK_FOR;
        timers.after(LOOK_FOR, () -> judge(at));
      }
    } else if (quiet >= PING_AFTER && !pinged) {
      ping(now);
    }
    return true;
  }

  private void ping(long now) {
    pinged = true;
    counts.pings++;
    if (since < 0) {
      since = now;
    }
    out.write(Frame.bare(Frame.PING, 0));
  }

  private void judge(long at) {
    long now = timers.now();
    if (now - at > ConnectionSweeper.HELD_UP) {
      timers.after(LOOK_FOR, () -> judge(now + LOOK_FOR));
      return;
    }
    suspected = false;
    progress(now);
    if (!ended && outstanding() && now - Math.max(lastHeard, since) >= CLOSE_AFTER) {
      counts.silentConnections++;
      close.run();
    }
  }

  private boolean outstanding() {
    return pinged || !out.isEmpty() || !calls.isEmpty();
  }

  private void progress(long now) {
    if (out.progressed()) {
      lastHeard = now;
    }
  }
}
