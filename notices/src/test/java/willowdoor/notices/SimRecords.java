package willowdoor.notices;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The events of a simulation, and the violations found in them. */
abstract class SimRecords {
  /** A notice that was answered with 200. */
  record Accepted(long customer, String stream, long seq, long publishedMs) {}

  final List<SimReader> readers = new ArrayList<>();
  final Map<Long, Accepted> accepted = new LinkedHashMap<>();
  long nowMs;

  /** Number of deliveries to healthy readers, by delay in ms. */
  final long[] deliveriesByMs = new long[200_001];

  final Set<SimReader> unhealthy = new LinkedHashSet<>();

  /** Counts each notice that healthy readers still lack as if it were delivered now. */
  void countOwed() {
    for (Accepted notice : accepted.values()) {
      for (SimReader reader : readers) {
        SimReader.ReceivedRange known = reader.streams.get(notice.stream());
        if (reader.customer == notice.customer()
            && !unhealthy.contains(reader)
            && reader.openedMs >= 0
            && notice.publishedMs() >= reader.openedMs
            && (known == null || known.last < notice.seq())) {
          deliveriesByMs[(int) Math.min(deliveriesByMs.length - 1, nowMs - notice.publishedMs())]++;
        }
      }
    }
  }

  long quantile(double q) {
    long all = 0;
    for (long n : deliveriesByMs) {
      all += n;
    }
    long left = (long) Math.ceil(all * q);
    for (int ms = 0; ms < deliveriesByMs.length; ms++) {
      left -= deliveriesByMs[ms];
      if (left <= 0) {
        return ms;
      }
    }
    return deliveriesByMs.length;
  }

  /**
   * Returns all violations in the deliveries of accepted notices.
   *
   * @param complete selects the readers that must have received all notices
   */
  List<String> violations(java.util.function.Predicate<SimReader> complete) {
    List<String> violations = new ArrayList<>();
    Map<Long, List<Accepted>> byCustomer = new HashMap<>();
    accepted
        .values()
        .forEach(t -> byCustomer.computeIfAbsent(t.customer(), c -> new ArrayList<>()).add(t));
    for (SimReader reader : readers) {
      violations.addAll(reader.violations);
      for (Accepted notice : byCustomer.getOrDefault(reader.customer, List.of())) {
        SimReader.ReceivedRange known = reader.streams.get(notice.stream());
        boolean owed = reader.openedMs >= 0 && notice.publishedMs() >= reader.openedMs;
        if (owed
            && complete.test(reader)
            && (known == null
                || known.first > notice.seq()
                || known.last < notice.seq() && !known.openEnd)) {
          violations.add(reader.index + " never got " + notice);
        }
      }
    }
    return violations;
  }
}
