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
  final class Run implements Running {
    final BatchItem batchItem;
    final long last;
    final RunListener heard;
    final long at;
    boolean over;
    boolean cancelled;

    Run(BatchItem batchItem, long last, RunListener heard, long at) {
      this.batchItem = batchItem;
      this.last = last;
      this.heard = heard;
      this.at = at;
    }

    void event(long id, String data) {
      if (!cancelled) {
        heard.event(id, data.getBytes(StandardCharsets.UTF_8));
      }
    }

    void end(Ended how) {
      if (!cancelled && !over) {
        over = true;
        if (how == Ended.WHOLE) {
          served.add(batchItem.id());
        }
        heard.ended(how);
      }
    }

    /** The whole output: two events, by the item's id. */
    void serve() {
      for (long id = last + 1; id < 2; id++) {
        event(id, batchItem.id() + "/" + id + padding);
      }
      end(Ended.WHOLE);
    }

    @Override
    public void cancel() {
      cancelled |= !over;
    }
  }

  final List<Run> runs = new ArrayList<>();
  private final ManualTimers timers;
  int room = 1_000;

  /** ItemDispatcher that were finished. */
  Set<String> served = new HashSet<>();

  /** Put behind the data of each event, where long texts matter. */
  String padding = "";

  /** The next run is served so many ms later than the one before it, beyond {@link #serveMs}. */
  long staggerMs;

  /** After so many ms a run is served; -1: by the test alone. */
  long serveMs = -1;

  SimServers(ManualTimers timers) {
    this.timers = timers;
  }

  @Override
  public int room(Route route) {
    return room - open();
  }

  int open() {
    int open = 0;
    for (Run run : runs) {
      open += run.over || run.cancelled ? 0 : 1;
    }
    return open;
  }

  @Override
  public Running start(Route route, BatchItem batchItem, long lastEventId, RunListener heard) {
    if (room(route) <= 0) {
      return null;
    }
    Run run = new Run(batchItem, lastEventId, heard, timers.now());
    runs.add(run);
    if (serveMs >= 0) {
      timers.schedule(serveMs + staggerMs * runs.size(), run::serve);
    }
    return run;
  }

  /** The gateway has died: its connections close, and nothing is heard. */
  void drop() {
    runs.forEach(Run::cancel);
  }

  Run last() {
    return runs.get(runs.size() - 1);
  }
}
