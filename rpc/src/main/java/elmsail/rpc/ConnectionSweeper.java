package elmsail.rpc;

import elmsail.runtime.Timers;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Runs {@link KeepaliveMonitor#sweep} of all connections of an endpoint periodically, with one
 * timer for all of them, and more often while some are in use. Used on the loop only.
 */
final class ConnectionSweeper {

  /** The interval while a connection is in use. */
  static final long BUSY_INTERVAL_MS = 200;

  /** The interval while none is in use. */
  static final long IDLE_INTERVAL_MS = 1_000;

  /** A timer that fires later than this shows that the process was stalled. */
  static final long STALL_THRESHOLD_MS = 100;

  private final Timers timers;
  private final Supplier<List<RpcConnection>> connections;
  private final BooleanSupplier noPeers;
  private Timers.Timer timer;
  private long dueAt;
  private boolean closed;

  /**
   * A sweeper that starts with the first {@link #sweepSoon}.
   *
   * @param connections all that are open at present
   * @param noPeers whether there is nothing to wait for when no connection is open
   */
  ConnectionSweeper(
      Timers timers, Supplier<List<RpcConnection>> connections, BooleanSupplier noPeers) {
    this.timers = timers;
    this.connections = connections;
    this.noPeers = noPeers;
  }

  /** Ensures that a sweep is scheduled within {@link #BUSY_INTERVAL_MS}. */
  void sweepSoon() {
    long soonest = timers.now() + BUSY_INTERVAL_MS;
    if (!closed && (timer == null || dueAt > soonest)) {
      schedule(soonest);
    }
  }

  /** Ends the sweeps. */
  void close() {
    closed = true;
    if (timer != null) {
      timer.cancel();
    }
  }

  private void schedule(long at) {
    if (timer != null) {
      timer.cancel();
    }
    dueAt = at;
    timer = timers.schedule(dueAt - timers.now(), this::sweep);
  }

  private void sweep() {
    timer = null;
    long now = timers.now();
    long lateMs = now - dueAt;
    List<RpcConnection> all = connections.get();
    boolean busy = false;
    for (RpcConnection connection : all) {
      if (lateMs > STALL_THRESHOLD_MS) {
        connection.keepalive().extendAfterStall(lateMs);
      }
      busy |= connection.keepalive().sweep();
    }
    if (!closed && (!all.isEmpty() || !noPeers.getAsBoolean())) {
      schedule(now + (busy ? BUSY_INTERVAL_MS : IDLE_INTERVAL_MS));
    }
  }
}
