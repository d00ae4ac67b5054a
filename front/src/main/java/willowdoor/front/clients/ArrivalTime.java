package willowdoor.front.clients;

import willowdoor.front.loop.Looks;

/**
 * When the bytes that were last read from a client can have come at the earliest, as far as it was
 * seen. Where the connection was looked at, that is the look before. Where it was not, as nothing
 * was asked of it, that is the moment at which it was last known to be empty: when it was read, or
 * when the answer before was written, as a client sends one request at a time.
 */
final class ArrivalTime {

  private final Looks polls;

  /** Nothing that is still unread came before this. */
  private double emptyAt;

  private double arrivedAt;
  private boolean asked;
  private long requestedAtPoll;

  /** A connection that was accepted now, and made no earlier than what this look finds. */
  ArrivalTime(Looks polls) {
    this.polls = polls;
    emptyAt = polls.since();
    arrivedAt = emptyAt;
  }

  /** From the next look on it is seen whether anything has come. */
  void asked() {
    if (!asked) {
      asked = true;
      requestedAtPoll = polls.count();
    }
  }

  /** Bytes were read; drained, where that left none behind. */
  void onRead(boolean drained) {
    boolean polled = asked && polls.count() - requestedAtPoll >= 2;
    arrivedAt = polled ? Math.max(emptyAt, polls.since()) : emptyAt;
    emptyAt = drained ? polls.begunAt() : arrivedAt;
    asked = false;
  }

  /** The answer to all that was read has been written. */
  void onAnswered(double now) {
    emptyAt = Math.max(emptyAt, now);
  }

  double arrivedAt() {
    return arrivedAt;
  }
}
