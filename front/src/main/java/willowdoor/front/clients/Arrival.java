package willowdoor.front.clients;

import willowdoor.front.loop.PollTimes;

/**
 * When the bytes that were last read from a client can have come at the earliest, as far as it was
 * seen. Where the connection was looked at, that is the look before. Where it was not, as nothing
 * was asked of it, that is the moment at which it was last known to be empty: when it was read, or
 * when the answer before was written, as a client sends one request at a time.
 */
final class Arrival {

  private final PollTimes looks;

  /** Nothing that is still unread came before this. */
  private double emptyAt;

  private double cameAt;
  private boolean asked;
  private long askedAt;

  /** A connection that was accepted now, and made no earlier than what this look finds. */
  Arrival(PollTimes looks) {
    this.looks = looks;
    emptyAt = looks.earliestArrival();
    cameAt = emptyAt;
  }

  /** From the next look on it is seen whether anything has come. */
  void asked() {
    if (!asked) {
      asked = true;
      askedAt = looks.count();
    }
  }

  /** Bytes were read; drained, where that left none behind. */
  void read(boolean drained) {
    boolean watched = asked && looks.count() - askedAt >= 2;
    cameAt = watched ? Math.max(emptyAt, looks.earliestArrival()) : emptyAt;
    emptyAt = drained ? looks.lastPollStartedAt() : cameAt;
    asked = false;
  }

  /** The answer to all that was read has been written. */
  void answered(double now) {
    emptyAt = Math.max(emptyAt, now);
  }

  double cameAt() {
    return cameAt;
  }
}
