package elmsail.soak;

/** Milliseconds on the steady clock since the run began; all recorded times are of this clock. */
final class SoakClock {
  private final long startedAtMs = System.nanoTime();

  long nowMs() {
    return (System.nanoTime() - startedAtMs) / 1_000_000;
  }

  /**
   * Waits, also for nothing.
   *
   * @throws IllegalStateException if the thread is interrupted
   */
  static void pause(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }
}
