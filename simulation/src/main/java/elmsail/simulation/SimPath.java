package elmsail.simulation;

import java.util.Random;

/** One direction between two addresses of a {@link SimNet}. */
final class SimPath {

  enum Fault {
    NONE,
    CUT,
    RESET,
    REFUSE
  }

  private long leastMs;
  private long mostMs;

  /** The part of messages that vanish, 0 to 1. */
  double loss;

  Fault fault = Fault.NONE;

  void delay(long least, long most) {
    leastMs = least;
    mostMs = most;
  }

  /** Ms that the next message takes. */
  long draw(Random random) {
    return leastMs + (long) (random.nextDouble() * (mostMs - leastMs + 1));
  }
}
