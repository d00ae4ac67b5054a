package elmsail.runtime;

/** Milliseconds of the steady clock; only differences mean anything. */
@FunctionalInterface
public interface SteadyClock {
  SteadyClock SYSTEM = () -> System.nanoTime() / 1_000_000;

  long now();
}
