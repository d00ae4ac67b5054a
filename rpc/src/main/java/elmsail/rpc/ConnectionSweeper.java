package elmsail.rpc;

import elmsail.runtime.Timers;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Sweeps the connections of a process periodically, more often while some are in use. */
final class ConnectionSweeper {

  static final long BUSY_INTERVAL_MS = 200;

  static final long IDLE_INTERVAL_MS = 1_000;

  /** A timer that runs later than this shows that the process was stalled. */
  static final long STALL_THRESHOLD_MS = 100;

  private final Timers timers;
  private final Supplier<List<RpcConnection>> connections;
  private final BooleanSupplier noPeers;
  private Timers.Timer timer;
  private long dueAt;
  private boolean closed;

  ConnectionSweeper(
      Timers timers, Supplier<List<RpcConnection>> connections, BooleanSupplier noPeers) {
    this.timers = timers;
    this.connections = connections;
    this.noPeers = noPeers;
  }

  /** Schedules a sweep within {@link #BUSY_INTERVAL_MS}. */
  void sweepSoon() {
    long dueAt = timers.now() + BUSY_INTERVAL_MS;
    if (!closed && (timer == null || this.dueAt > dueAt)) {
      schedule(dueAt);
    }
  }

  void close() {
    closed = true;
    if (timer != null) {
      timer.cancel();
    }
  }

  private void schedule(long dueAt) {
    if (timer != null) {
      timer.cancel();
    }
    this.dueAt = dueAt;
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
