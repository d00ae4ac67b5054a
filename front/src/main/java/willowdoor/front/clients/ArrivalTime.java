package willowdoor.front.clients;

import willowdoor.front.loop.PollTimes;

/**
 * The earliest time at which the bytes last read from a client can have arrived, as far as the
 * event loop can tell. If the loop polled the connection for input, this is the time of the poll
 * before the one that found the bytes. If no read was requested, the connection was not polled.
 * Then it is the time at which the connection was last known to be empty: when it was read, or when
 * the previous response was written, because a client sends one request at a time.
 */
final class ArrivalTime {

  private final PollTimes polls;

  /** No byte that is still unread arrived before this time. */
  private double emptyAt;

  private double arrivedAt;
  private boolean readRequested;
  private long requestedAtPoll;

  /**
   * For a connection that is accepted now. It was opened no earlier than the earliest time that the
   * present poll covers.
   */
  ArrivalTime(PollTimes polls) {
    this.polls = polls;
    emptyAt = polls.earliestArrival();
    arrivedAt = emptyAt;
  }

  /**
   * Records that a read was requested: from the next poll on, the loop detects whether bytes have
   * arrived.
   */
  void onReadRequested() {
    if (!readRequested) {
      readRequested = true;
      requestedAtPoll = polls.count();
    }
  }

  /**
   * Records that bytes were read. {@code drained} says that the read left no bytes in the socket.
   */
  void onRead(boolean drained) {
    boolean polled = readRequested && polls.count() - requestedAtPoll >= 2;
    arrivedAt = polled ? Math.max(emptyAt, polls.earliestArrival()) : emptyAt;
    emptyAt = drained ? polls.lastPollStartedAt() : arrivedAt;
    readRequested = false;
  }

  /** Records that the response to everything read so far was written. */
  void onAnswered(double now) {
    emptyAt = Math.max(emptyAt, now);
  }

  double arrivedAt() {
    return arrivedAt;
  }
}
