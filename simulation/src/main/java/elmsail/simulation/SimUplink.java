package elmsail.simulation;

/** The outgoing link of one machine: its messages leave one after the other, at a given rate. */
final class SimUplink {
  private final double bytesPerMs;
  private double freeAt;

  SimUplink(double bytesPerMs) {
    this.bytesPerMs = bytesPerMs;
  }

  /** Ms from {@code now} until a message of so many bytes, sent now, has left whole. */
  long send(long now, int bytes) {
    freeAt = Math.max(now, freeAt) + bytes / bytesPerMs;
    return (long) Math.ceil(freeAt - now);
  }
}
