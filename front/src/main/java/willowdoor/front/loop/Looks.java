package willowdoor.front.loop;

/**
 * When the event loop looked at its sockets. What it reads now was not there at the look before:
 * that one would have found it. So however long the process stood still, what came meanwhile is no
 * older than that.
 */
public final class Looks {

  private long count;
  private double begunAt;

  /** When the last look that found nothing ended. */
  private double quietAt;

  private double since;

  public Looks(double now) {
    begunAt = now;
    quietAt = now;
    since = now;
  }

  public void begins(double now) {
    count++;
    since = Math.max(begunAt, quietAt);
    begunAt = now;
  }

  /** The look that began last ended now, and found nothing. */
  public void foundNothing(double now) {
    quietAt = now;
  }

  /** How many have begun. */
  public long count() {
    return count;
  }

  public double begunAt() {
    return begunAt;
  }

  /** The earliest moment at which that can have come which the present look finds. */
  public double since() {
    return since;
  }
}
