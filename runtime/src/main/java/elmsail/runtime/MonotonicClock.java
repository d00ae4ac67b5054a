package elmsail.runtime;

/** Milliseconds of the steady clock; only differences mean anything. */
@FunctionalInterface
public interface MonotonicClock {
  MonotonicClock SYSTEM = () -> System.nanoTime() / 1_000_000;

  /** The present time in ms; it never goes back, also where the system clock is set. */
  long now();
}
