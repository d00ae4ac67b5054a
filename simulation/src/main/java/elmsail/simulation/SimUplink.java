package elmsail.simulation;

/** The outgoing link of one machine: its messages leave one after the other, at a given rate. */
final class SimUplink {
  private final double bytesPerMs;
  private double idleAt;

  SimUplink(double bytesPerMs) {
    this.bytesPerMs = bytesPerMs;
  }

  /** Ms from {@code now} until a message of so many bytes, sent now, has left whole. */
  long transmitMs(long now, int bytes) {
    idleAt = Math.max((double) now, idleAt) + bytes / bytesPerMs;
    return (long) Math.ceil(idleAt - now);
  }
}
