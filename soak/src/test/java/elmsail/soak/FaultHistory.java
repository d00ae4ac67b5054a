package elmsail.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** When which machines were in trouble, and so which were in touch at a moment. */
final class FaultHistory {
  private static final long OPEN = Long.MAX_VALUE;

  /** A trouble that goes on until it is ended. */
  static final class Entry {
    private final Set<String> machines;
    private final boolean ofCore;
    private final long startMs;
    private long endMs = OPEN;

    private Entry(Set<String> machines, boolean ofCore, long startMs) {
      this.machines = machines;
      this.ofCore = ofCore;
      this.startMs = startMs;
    }
  }

  private final List<Entry> entries = new ArrayList<>();

  /**
   * Notes that a trouble begins.
   *
   * @param ofCore whether it takes all machines out of touch, as those that vote do
   */
  synchronized Entry begin(Set<String> machines, boolean ofCore, long atMs) {
    Entry entry = new Entry(Set.copyOf(machines), ofCore, atMs);
    entries.add(entry);
    return entry;
  }

  synchronized void end(Entry entry, long atMs) {
    entry.endMs = atMs;
  }

  /** Notes a time in which this whole computer stood still. */
  synchronized void stalled(long fromMs, long toMs) {
    Entry entry = new Entry(Set.of(), true, fromMs);
    entry.endMs = toMs;
    entries.add(entry);
  }

  /** Whether it was in touch at each moment from the first to the last. */
  synchronized boolean inTouch(String machine, long fromMs, long toMs) {
    for (Entry entry : entries) {
      boolean concerns = entry.ofCore || entry.machines.contains(machine);
      if (concerns && entry.startMs <= toMs && entry.endMs >= fromMs - Bounds.IN_TOUCH_MS) {
        return false;
      }
    }
    return true;
  }
}
