package willowdoor.front.loop;

import java.util.logging.Logger;

/**
 * Counts abnormal events and periodically logs one line of them; events that did not occur since
 * the last line are omitted. Used on the event loop's thread.
 */
public final class EventCounters {

  private static final Logger LOG = Logger.getLogger(EventCounters.class.getName());

  /** The counted events. */
  public enum Event {
    /** Backend responses that cannot be parsed, and unsolicited ones. */
    ANSWER_UNREADABLE,
    ANSWER_UNASKED,
    /** Discovery messages that cannot be parsed: the list stays unchanged. */
    DISCOVERY_UNREADABLE,
    /** Counter lines that match no call: their connection is closed. */
    COUNTER_UNREADABLE,
    /** Attempts without a connection because all connections are in use. */
    BACKENDS_FULL,
    /**
     * Client connections: idle ones closed to free capacity, ones refused because all are in use,
     * and ones closed for a slow request.
     */
    CLIENT_EVICTED,
    CLIENT_REFUSED,
    CLIENT_SLOW,
    /** Request and response bodies in transfer that made no progress for too long. */
    STREAM_IDLE,
    /** Requests failed just before their deadline because no other response had arrived. */
    LAST_CALL
  }

  private static final Event[] EVENTS = Event.values();

  /** Attempts are grouped into this many buckets by the remaining share of the request's time. */
  private static final int TIME_BUCKETS = 4;

  private final long[] counts = new long[EVENTS.length];
  private final long[] attemptsByTimeLeft = new long[TIME_BUCKETS];

  public void count(Event event) {
    counts[event.ordinal()]++;
  }

  /** Counts an attempt that started with this share of the request's time left, from 0 to 1. */
  public void countAttempt(double shareLeft) {
    attemptsByTimeLeft[(int) Math.min(TIME_BUCKETS - 1, shareLeft * TIME_BUCKETS)]++;
  }

  /** Logs the given current figures followed by the events counted since the last line. */
  public void log(String present) {
    LOG.info(formatLine(present));
  }

  public String formatLine(String present) {
    StringBuilder line = new StringBuilder(present);
    for (Event e : EVENTS) {
      if (counts[e.ordinal()] > 0) {
        line.append(' ').append(e).append('=').append(counts[e.ordinal()]);
        counts[e.ordinal()] = 0;
      }
    }
    for (int i = TIME_BUCKETS - 1; i >= 0; i--) {
      if (attemptsByTimeLeft[i] > 0) {
        line.append(" began_with_")
            .append(100 * i / TIME_BUCKETS)
            .append("%=")
            .append(attemptsByTimeLeft[i]);
        attemptsByTimeLeft[i] = 0;
      }
    }
    return line.toString();
  }
}
