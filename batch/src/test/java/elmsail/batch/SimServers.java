package elmsail.batch;

import elmsail.config.Route;
import elmsail.runtime.ManualTimers;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Servers of one gateway: every start is written down, and ended by the test or by themselves. */
final class SimServers implements ItemServers {

  /** One start. */
  final class Run implements RunHandle {
    final BatchItem item;
    final long lastEventId;
    final RunListener listener;
    final long startedAt;
    boolean ended;
    boolean cancelled;

    Run(BatchItem item, long lastEventId, RunListener listener, long startedAt) {
      this.item = item;
      this.lastEventId = lastEventId;
      this.listener = listener;
      this.startedAt = startedAt;
    }

    void event(long id, String data) {
      if (!cancelled) {
        listener.onEvent(id, data.getBytes(StandardCharsets.UTF_8));
      }
    }

    void end(RunOutcome outcome) {
      if (!cancelled && !ended) {
        ended = true;
        if (outcome == RunOutcome.COMPLETED) {
          served.add(item.id());
        }
        listener.onEnded(outcome);
      }
    }

    /** The whole output: two events, by the item's id. */
    void serve() {
      for (long id = lastEventId + 1; id < 2; id++) {
        event(id, item.id() + "/" + id + eventPadding);
      }
      end(RunOutcome.COMPLETED);
    }

    @Override
    public void cancel() {
      cancelled |= !ended;
    }
  }

  final List<Run> runs = new ArrayList<>();
  private final ManualTimers timers;
  int capacity = 1_000;

  /** ItemDispatcher that were finished. */
  Set<String> served = new HashSet<>();

  /** Put behind the data of each event, where long texts matter. */
  String eventPadding = "";

  /**
   * The next run is served so many ms later than the one before it, beyond {@link #serviceTimeMs}.
   */
  long staggerMs;

  /** After so many ms a run is served; -1: by the test alone. */
  long serviceTimeMs = -1;

  SimServers(ManualTimers timers) {
    this.timers = timers;
  }

  @Override
  public int availableCapacity(Route route) {
    return capacity - openRuns();
  }

  int openRuns() {
    int open = 0;
    for (Run run : runs) {
      open += run.ended || run.cancelled ? 0 : 1;
    }
    return open;
  }

  @Override
  public RunHandle start(Route route, BatchItem item, long lastEventId, RunListener listener) {
    if (availableCapacity(route) <= 0) {
      return null;
    }
    Run run = new Run(item, lastEventId, listener, timers.now());
    runs.add(run);
    if (serviceTimeMs >= 0) {
      timers.schedule(serviceTimeMs + staggerMs * runs.size(), run::serve);
    }
    return run;
  }

  /** The gateway has died: its connections close, and nothing is heard. */
  void closeConnections() {
    runs.forEach(Run::cancel);
  }

  Run lastRun() {
    return runs.get(runs.size() - 1);
  }
}
