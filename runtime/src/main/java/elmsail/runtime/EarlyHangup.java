package elmsail.runtime;

/**
 * Keeps a SIGHUP from ending the process before {@link ProcessSignals} handles it, and remembers
 * that it came. Thread-safe.
 */
public final class EarlyHangup {
  private static volatile boolean received;

  private EarlyHangup() {}

  /** To be called first in a program's main. */
  public static void hold() {
    Signals.handle("HUP", () -> received = true);
  }

  /** Whether a SIGHUP came since {@link #hold}; the next call returns false. */
  static boolean takeReceived() {
    boolean wasReceived = received;
    received = false;
    return wasReceived;
  }
}
