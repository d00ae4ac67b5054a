package elmsail.runtime;

/**
 * A monotonic clock in ms: only differences are meaningful, and they ignore steps of the wall
 * clock.
 */
@FunctionalInterface
public interface MonotonicClock {
  /** The clock of the runtime. */
  MonotonicClock SYSTEM = () -> System.nanoTime() / 1_000_000;

  /** The current time in ms; it never decreases. */
  long now();
}
