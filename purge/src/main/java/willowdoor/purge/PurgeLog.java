package willowdoor.purge;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;

/**
 * The purges that a holder has carried out, counted from 1. Bounded: what it forgets it takes to be
 * covered, so it may call clean things unclean and never the other way round.
 */
final class PurgeLog {
  private static final int MAX_PREFIXES = 16;
  private static final int MAX_CUSTOMERS = 4_096;

  private record Line(String prefix, long count) {}

  private long count;
  private long forgotten;

  /** By customer, the one purged last at the end. The lists are never changed. */
  private final LinkedHashMap<String, List<Line>> lines;

  PurgeLog() {
    lines = new LinkedHashMap<>();
  }

  PurgeLog(PurgeLog other) {
    count = other.count;
    forgotten = other.forgotten;
    lines = new LinkedHashMap<>(other.lines);
  }

  long count() {
    return count;
  }

  void add(Scope scope) {
    count++;
    List<Line> kept = new ArrayList<>();
    for (Line line : lines.getOrDefault(scope.customer(), List.of())) {
      if (!line.prefix.startsWith(scope.prefix())) {
        kept.add(line);
      }
    }
    if (kept.size() == MAX_PREFIXES) {
      kept.clear();
      kept.add(new Line("/", count));
    } else {
      kept.add(new Line(scope.prefix(), count));
    }
    lines.remove(scope.customer());
    lines.put(scope.customer(), kept);
    if (lines.size() > MAX_CUSTOMERS) {
      List<Line> eldest = lines.remove(lines.keySet().iterator().next());
      forgotten = eldest.get(eldest.size() - 1).count;
    }
  }

  /** Whether no purge of this target came after the first {@code since} ones. */
  boolean clean(String customer, String target, long since) {
    if (since < forgotten) {
      return false;
    }
    for (Line line : lines.getOrDefault(customer, List.of())) {
      if (line.count > since && target.startsWith(line.prefix)) {
        return false;
      }
    }
    return true;
  }
}
