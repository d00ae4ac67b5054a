package elmsail.gateway.http;

/** Counts of what happened since the start; told every so often. */
public final class RequestCounters {

  /** What is counted. */
  public enum Event {
    SERVED,
    REFUSED_NO_CONFIGURATION,
    REFUSED_NO_SERVER,
    REFUSED_NOT_RUN,
    REFUSED_FULL,
    REFUSED_ENDING,
    NO_ROUTE,
    BAD_REQUEST,
    TOO_LARGE,
    CLIENT_SLOW,
    CLIENT_LEFT,
    BAD_GATEWAY,
    TIMED_OUT,
    BROKEN_OFF,
    RESUMED,
    SERVER_ERRORED,
    RETRIED_AFTER_ERROR,
    PROBED,
    GONE_DARK,
    LOT_CALL,
    TRY,
    TRY_UNSENT,
    TRY_NOT_RUN,
    TRY_SENT_FAILED,
    TRY_ANSWERED,
    CONNECTED,
    CONNECT_FAILED,
    CLOSED_BY_SERVER,
    FOREIGN_ANSWER,
    UNREADABLE_ANSWER,
    ITEM,
    FAULT
  }

  private static final Event[] ALL = Event.values();

  private final long[] counts = new long[ALL.length];

  /** Counts one more of these. */
  public void count(Event what) {
    counts[what.ordinal()]++;
  }

  /** How many of these were counted since the start. */
  public long of(Event what) {
    return counts[what.ordinal()];
  }

  /** All that has happened at least once. */
  @Override
  public String toString() {
    StringBuilder line = new StringBuilder();
    for (Event e : ALL) {
      if (of(e) > 0) {
        line.append(line.length() == 0 ? "" : " ").append(e).append('=').append(of(e));
      }
    }
    return line.toString();
  }
}
