package willowdoor.front.loop;

import java.util.logging.Logger;

/**
 * Counts what is worth knowing on a bad day, and writes one line of it now and then: what did not
 * happen since the last line is left out. On the event loop's thread.
 */
public final class EventCounters {

  private static final Logger LOG = Logger.getLogger(EventCounters.class.getName());

  /** What is counted. */
  public enum Event {
    /** Answers of backends that do not parse, and that nobody asked for. */
    ANSWER_UNREADABLE,
    ANSWER_UNASKED,
    /** Lines of discovery that do not parse: the list stays as it was. */
    DISCOVERY_UNREADABLE,
    /** Lines of the counter that answer nothing: their connection ends. */
    COUNTER_UNREADABLE,
    /** Attempts without a connection as all are in use. */
    BACKENDS_FULL,
    /**
     * Clients: idle ones that made room, refused as all are in use, and too slow with a request.
     */
    CLIENT_EVICTED,
    CLIENT_REFUSED,
    CLIENT_SLOW,
    /** Bodies and answers on their way on which nothing moved any more. */
    STREAM_IDLE,
    /** Requests failed at the last moment of their time, as no other answer had come. */
    LAST_CALL
  }

  private static final Event[] EVENTS = Event.values();

  /** Attempts are told apart by how many of these parts of the request's time were left. */
  private static final int TIME_BUCKETS = 4;

  private final long[] counts = new long[EVENTS.length];
  private final long[] attemptsByTimeLeft = new long[TIME_BUCKETS];

  public void count(Event event) {
    counts[event.ordinal()]++;
  }

  /** Counts an attempt that began with so much of the request's time left, from 0 to 1. */
  public void countAttempt(double shareLeft) {
    attemptsByTimeLeft[(int) Math.min(TIME_BUCKETS - 1, shareLeft * TIME_BUCKETS)]++;
  }

  /** Writes what was counted since the last line behind the caller's present figures. */
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
