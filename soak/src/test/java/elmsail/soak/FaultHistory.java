package elmsail.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Records which machines were affected by faults when, and so which were in touch. Thread-safe. */
final class FaultHistory {
  private static final long OPEN = Long.MAX_VALUE;

  /** A fault that lasts until it is ended. */
  static final class Entry {
    private final Set<String> machines;
    private final boolean affectsAll;
    private final long startMs;
    private long endMs = OPEN;

    private Entry(Set<String> machines, boolean ofCore, long startMs) {
      this.machines = machines;
      this.affectsAll = ofCore;
      this.startMs = startMs;
    }
  }

  private final List<Entry> entries = new ArrayList<>();

  /**
   * Records that a fault begins.
   *
   * @param affectsAll whether it takes all machines out of touch, as faults of voters do
   */
  synchronized Entry begin(Set<String> machines, boolean affectsAll, long atMs) {
    Entry entry = new Entry(Set.copyOf(machines), affectsAll, atMs);
    entries.add(entry);
    return entry;
  }

  synchronized void end(Entry entry, long atMs) {
    entry.endMs = atMs;
  }

  /** Records a time in which the whole computer made no progress. */
  synchronized void onStall(long fromMs, long toMs) {
    Entry entry = new Entry(Set.of(), true, fromMs);
    entry.endMs = toMs;
    entries.add(entry);
  }

  /** Whether it was in touch at each moment from the first to the last. */
  synchronized boolean inTouch(String machine, long fromMs, long toMs) {
    for (Entry entry : entries) {
      boolean concerns = entry.affectsAll || entry.machines.contains(machine);
      if (concerns && entry.startMs <= toMs && entry.endMs >= fromMs - Bounds.IN_TOUCH_MS) {
        return false;
      }
    }
    return true;
  }
}
