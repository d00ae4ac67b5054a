package elmsail.batch;

import elmsail.config.Route;
import elmsail.runtime.ManualTimers;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Simulates the servers of one gateway. Each run is recorded, and completes on a call by the test
 * or after a set time.
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

    /**
     * Sends the events of the complete output that the gateway lacks and ends the run. The output
     * is two events, derived from the item's id.
     */
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

  /** Text that is appended to the data of each event, for tests with long texts. */
  String eventPadding = "";

  /**
   * The difference between the durations of consecutive runs, which is added to {@link
   * #serviceTimeMs}, in ms.
   */
  long staggerMs;

  /** The time after which a run completes, in ms; with -1, runs complete only by the test. */
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

  /** Closes the connections of a crashed gateway; no listener is called any more. */
  void closeConnections() {
    runs.forEach(Run::cancel);
  }

  Run lastRun() {
    return runs.get(runs.size() - 1);
  }
}
