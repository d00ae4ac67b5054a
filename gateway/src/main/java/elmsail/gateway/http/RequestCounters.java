package elmsail.gateway.http;

import elmsail.runtime.Counters;
import java.util.Locale;

/** Counts of what happened to requests since the start, among the figures of the process. */
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

  private static final String PREFIX = "requests_";

  private final Counters.Counter[] counts = new Counters.Counter[ALL.length];

  /** Takes its counters from those of the process. */
  public RequestCounters(Counters counters) {
    for (Event event : ALL) {
      counts[event.ordinal()] = counters.counter(PREFIX + event.name().toLowerCase(Locale.ROOT));
    }
  }

  /** Counts one more of these. */
  public void count(Event event) {
    counts[event.ordinal()].add(1);
  }

  /** How many of these were counted since the start. */
  public long of(Event event) {
    return counts[event.ordinal()].value();
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
