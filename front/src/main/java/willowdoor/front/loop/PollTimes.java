package willowdoor.front.loop;

/**
 * When the event loop looked at its sockets. What it reads now was not there at the look before:
 * that one would have found it. So however long the process stood still, what came meanwhile is no
 * older than that.
 */
public final class PollTimes {

  private long count;
  private double lastPollStartedAt;

  /** When the last look that found nothing ended. */
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

  /** The look that began last ended now, and found nothing. */
  public void onEmptyPoll(double now) {
    lastEmptyPollEndedAt = now;
  }

  /** How many have begun. */
  public long count() {
    return count;
  }

  public double lastPollStartedAt() {
    return lastPollStartedAt;
  }

  /** The earliest moment at which that can have come which the present look finds. */
  public double earliestArrival() {
    return earliestArrival;
  }
}
