package elmsail.station;

/** Milliseconds of the steady clock; only differences mean anything. */
@FunctionalInterface
public interface Steady {
  Steady SYSTEM = () -> System.nanoTime() / 1_000_000;

  long now();
}
