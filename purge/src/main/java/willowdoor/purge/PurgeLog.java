package willowdoor.purge;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;

/**
 * The purges that a holder has carried out, counted from 1. The log is bounded. Evicted purges are
 * taken to cover every target, so the log may report a target as purged that was not, but never the
 * reverse.
 */
final class PurgeLog {
  private static final int MAX_PREFIXES = 16;
  private static final int MAX_CUSTOMERS = 4_096;

  private record PurgedPrefix(String prefix, long count) {}

  private long count;
  private long evictedCount;

  /** By customer, the customer purged last at the end. The lists are never modified. */
  private final LinkedHashMap<String, List<PurgedPrefix>> prefixesByCustomer;

  PurgeLog() {
    prefixesByCustomer = new LinkedHashMap<>();
  }

  PurgeLog(PurgeLog other) {
    count = other.count;
    evictedCount = other.evictedCount;
    prefixesByCustomer = new LinkedHashMap<>(other.prefixesByCustomer);
  }

  long count() {
    return count;
  }

  void add(Scope scope) {
    count++;
    List<PurgedPrefix> kept = new ArrayList<>();
    for (PurgedPrefix line : prefixesByCustomer.getOrDefault(scope.customer(), List.of())) {
      if (!line.prefix.startsWith(scope.prefix())) {
        kept.add(line);
      }
    }
    if (kept.size() == MAX_PREFIXES) {
      kept.clear();
      kept.add(new PurgedPrefix("/", count));
    } else {
      kept.add(new PurgedPrefix(scope.prefix(), count));
    }
    prefixesByCustomer.remove(scope.customer());
    prefixesByCustomer.put(scope.customer(), kept);
    if (prefixesByCustomer.size() > MAX_CUSTOMERS) {
      List<PurgedPrefix> eldest =
          prefixesByCustomer.remove(prefixesByCustomer.keySet().iterator().next());
      evictedCount = eldest.get(eldest.size() - 1).count;
    }
  }

  /** Whether no purge that covers this target came after the first {@code since} purges. */
  boolean notPurgedSince(String customer, String target, long since) {
    if (since < evictedCount) {
      return false;
    }
    for (PurgedPrefix line : prefixesByCustomer.getOrDefault(customer, List.of())) {
      if (line.count > since && target.startsWith(line.prefix)) {
        return false;
      }
    }
    return true;
  }
}
