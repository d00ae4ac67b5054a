package elmsail.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * The first violations of each invariant in one run, and how often each was checked. Thread-safe.
 */
final class Findings {
  private static final int MAX_KEPT = 50;

  private final List<Violation> violations = new ArrayList<>();
  private final Map<Invariant, Long> checks = new EnumMap<>(Invariant.class);
  private final Map<Invariant, Long> broken = new EnumMap<>(Invariant.class);

  /** Counts a check, and records a violation if it does not hold. */
  synchronized void check(Invariant invariant, boolean holds, long atMs, String detail) {
    checks.merge(invariant, 1L, Long::sum);
    if (!holds && broken.merge(invariant, 1L, Long::sum) <= MAX_KEPT) {
      violations.add(new Violation(invariant, atMs, detail));
    }
  }

  synchronized List<Violation> violations() {
    return List.copyOf(violations);
  }

  synchronized long checks(Invariant invariant) {
    return checks.getOrDefault(invariant, 0L);
  }

  synchronized Map<Invariant, Long> checks() {
    return new EnumMap<>(checks);
  }
}
