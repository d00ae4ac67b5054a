package elmsail.simulation;

import java.util.Random;

/** One direction between two addresses of a {@link SimNetwork}. */
final class SimLink {

  enum Fault {
    NONE,
    CUT,
    RESET,
    REFUSE
  }

  private long minDelayMs;
  private long maxDelayMs;

  /** The share of messages that are lost, 0 to 1. */
  double lossRatio;

  Fault fault = Fault.NONE;

  void delay(long minMs, long maxMs) {
    minDelayMs = minMs;
    maxDelayMs = maxMs;
  }

  /** Draws the delay of the next message. */
  long drawDelayMs(Random random) {
    return minDelayMs + (long) (random.nextDouble() * (maxDelayMs - minDelayMs + 1));
  }
}
