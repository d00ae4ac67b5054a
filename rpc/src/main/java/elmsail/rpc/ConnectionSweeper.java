package elmsail.rpc;

import elmsail.runtime.Timers;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Looks after all connections of a process now and then, more often while some are in use. */
final class ConnectionSweeper {

  /** All in ms. */
  static final long SWEEP_SOON = 200;

  static final long SWEEP_LATER = 1_000;

  /** A timer that is later than that tells of a process that was held up. */
  static final long HELD_UP = 100;

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

  /** Sees to it that the connections are looked after before long. */
  void soon() {
    long at = timers.now() + SWEEP_SOON;
    if (!closed && (timer == null || dueAt > at)) {
      schedule(at);
    }
  }

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
    timer = timers.after(at - timers.now(), this::sweep);
  }

  private void sweep() {
    timer = null;
    long now = timers.now();
    long late = now - dueAt;
    List<RpcConnection> all = connections.get();
    boolean busy = false;
    for (RpcConnection connection : all) {
      if (late > HELD_UP) {
        connection.liveness().forgive(late);
      }
      busy |= connection.liveness().sweep();
    }
    if (!closed && (!all.isEmpty() || !noPeers.getAsBoolean())) {
      schedule(now + (busy ? SWEEP_SOON : SWEEP_LATER));
    }
  }
}
