package elmsail.runtime;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Checks invariants and counts violations among the metrics of the process. Confined to the event
 * loop.
 *
 * <p>A running process counts a violation, logs the first few of each invariant and goes on. In
 * tests the checks are strict: a violation throws. As a future or an event loop may swallow the
 * error, a test also asserts at its end that {@link #violations()} is 0.
 */
public final class Invariants {

  /** The number of violations of one invariant that are logged with their detail. */
  static final int MAX_LOGGED = 5;

  /** The maximum length of a logged detail, in characters. */
  static final int MAX_DETAIL_CHARS = 500;

  private static final Logger LOG = LoggerFactory.getLogger(Invariants.class);
  private static final String LOG_PREFIX = "invariant_";
  private static final String FAMILY = "invariant_violations";
  private static final String LABEL = "name";

  private final Map<Invariant, Counters.Counter> counts = new EnumMap<>(Invariant.class);
  private final boolean strict;

  private Invariants(Counters counters, boolean strict) {
    this.strict = strict;
    for (Invariant invariant : Invariant.values()) {
      MetricName name = new MetricName(LOG_PREFIX + invariant, FAMILY, LABEL, invariant.name());
      counts.put(invariant, counters.counter(name));
    }
  }

  /** Violations are counted and logged, and nothing is thrown: for a running process. */
  public static Invariants counting(Counters counters) {
    return new Invariants(counters, false);
  }

  /** Violations are counted and thrown as {@link InvariantViolation}: for tests. */
  public static Invariants strict(Counters counters) {
    return new Invariants(counters, true);
  }

  /**
   * Checks one invariant.
   *
   * @param holds whether the invariant holds
   * @param detail describes a violation; called only if one is logged or thrown
   */
  public void check(Invariant invariant, boolean holds, Supplier<String> detail) {
    if (!holds) {
      onViolation(invariant, detail);
    }
  }

  /** The number of violations of this invariant since the start. */
  public long violations(Invariant invariant) {
    return counts.get(invariant).value();
  }

  /** The number of violations of all invariants since the start. */
  public long violations() {
    long sum = 0;
    for (Counters.Counter count : counts.values()) {
      sum += count.value();
    }
    return sum;
  }

  private void onViolation(Invariant invariant, Supplier<String> detail) {
    Counters.Counter count = counts.get(invariant);
    count.add(1);
    if (strict) {
      throw new InvariantViolation(invariant, describe(detail));
    }
    if (count.value() <= MAX_LOGGED) {
      LOG.error("invariant {} violated ({}): {}", invariant, count.value(), describe(detail));
    }
  }

  /**
   * The truncated detail. A failure to describe a violation must not become a failure of its own.
   */
  private static String describe(Supplier<String> detail) {
    String text;
    try {
      text = String.valueOf(detail.get());
    } catch (RuntimeException fault) {
      text = "no detail: " + fault;
    }
    return text.length() <= MAX_DETAIL_CHARS ? text : text.substring(0, MAX_DETAIL_CHARS);
  }
}
