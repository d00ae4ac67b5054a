package willowdoor.front.loop;

/**
 * Records when the event loop polled its sockets. Data read by the current poll was not available
 * at the previous one, which would have found it. So the data arrived after the previous poll,
 * however long the process was paused since.
 */
public final class PollTimes {

  private long count;
  private double lastPollStartedAt;

  /** When the last poll that found nothing ended. */
  private double lastEmptyPollEndedAt;

  private double earliestArrival;

  public PollTimes(double now) {
    lastPollStartedAt = now;
    lastEmptyPollEndedAt = now;
    earliestArrival = now;
  }

  public void onPollStart(double now) {
    count++;
    earliestArrival = Math.max(lastPollStartedAt, lastEmptyPollEndedAt);
    lastPollStartedAt = now;
  }

  /** The current poll ended at this time and found nothing. */
  public void onEmptyPoll(double now) {
    lastEmptyPollEndedAt = now;
  }

  /** The number of polls started. */
  public long count() {
    return count;
  }

  public double lastPollStartedAt() {
    return lastPollStartedAt;
  }

  /** The earliest time at which the data found by the current poll can have arrived. */
  public double earliestArrival() {
    return earliestArrival;
  }
}
