package elmsail.simulation;

/** The outgoing link of one machine: its messages leave one after the other, at a fixed rate. */
final class SimUplink {
  private final double bytesPerMs;
  private double idleAt;

  SimUplink(double bytesPerMs) {
    this.bytesPerMs = bytesPerMs;
  }

  /** Time from {@code now} until a message of that size, sent now, has left completely. */
  long transmitMs(long now, int bytes) {
    idleAt = Math.max((double) now, idleAt) + bytes / bytesPerMs;
    return (long) Math.ceil(idleAt - now);
  }
}
