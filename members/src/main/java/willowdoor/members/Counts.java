package willowdoor.members;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** The values of the counters since the start of the process. */
final class Counts {

  private static final Count[] ALL = Count.values();

  private final long[] counts = new long[ALL.length];

  void add(Count count) {
    counts[count.ordinal()]++;
  }

  void add(Count count, long amount) {
    counts[count.ordinal()] += amount;
  }

  long get(Count count) {
    return counts[count.ordinal()];
  }

  /** The counters that are not zero, by metric key. */
  Map<String, Long> all() {
    Map<String, Long> all = new TreeMap<>();
    for (Count count : ALL) {
      if (counts[count.ordinal()] > 0) {
        all.put(count.name().toLowerCase(Locale.ROOT), counts[count.ordinal()]);
      }
    }
    return all;
  }
}
