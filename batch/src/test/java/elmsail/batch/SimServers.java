package elmsail.batch;

import elmsail.config.Route;
import elmsail.runtime.ManualTimers;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The servers of one gateway: each run is kept, and is completed by the test or after a set time.
 */
final class SimServers implements ItemServers {

  /** One run of an item. */
  final class Run implements RunHandle {
    final TenantName tenant;
    final BatchItem item;
    final long lastEventId;
    final RunListener listener;
    final long startedAt;
    boolean ended;
    boolean cancelled;

    Run(TenantName tenant, BatchItem item, long lastEventId, RunListener listener, long startedAt) {
      this.tenant = tenant;
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
          completedItemIds.add(item.id());
        }
        listener.onEnded(outcome);
      }
    }

    /** Sends the complete output, two events by the item's id, and ends the run. */
    void complete() {
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

  /** The ids of the items that were completed. */
  Set<String> completedItemIds = new HashSet<>();

  /** Appended to the data of each event, where long texts matter. */
  String eventPadding = "";

  /**
   * By how much each run takes longer than the one before it, beyond {@link #serviceTimeMs}, in ms.
   */
  long staggerMs;

  /** After how long a run completes, in ms; with -1 only the test completes it. */
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
  public RunHandle start(
      TenantName tenant, Route route, BatchItem item, long lastEventId, RunListener listener) {
    if (availableCapacity(route) <= 0) {
      return null;
    }
    Run run = new Run(tenant, item, lastEventId, listener, timers.now());
    runs.add(run);
    if (serviceTimeMs >= 0) {
      timers.schedule(serviceTimeMs + staggerMs * runs.size(), run::complete);
    }
    return run;
  }

  /** The gateway has crashed: its connections close and no listener is called. */
  void closeConnections() {
    runs.forEach(Run::cancel);
  }

  Run lastRun() {
    return runs.get(runs.size() - 1);
  }
}
