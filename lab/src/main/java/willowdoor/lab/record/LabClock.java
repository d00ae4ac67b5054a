package willowdoor.lab.record;

/**
 * The one monotonic clock that all records of a run go by: whole microseconds since the run was set
 * up.
 */
public final class LabClock {

  private final long origin = System.nanoTime();

  public long nowUs() {
    return (System.nanoTime() - origin) / 1_000;
  }

  /** Milliseconds as the clock's microseconds. */
  public static long us(double ms) {
    return Math.round(1_000 * ms);
  }
}
