package willowdoor.net;

import java.util.logging.Logger;

/**
 * Counts what is worth knowing on a bad day, and writes one line of it now and then: what did not happen
 * since the last line is left out. On the event loop's thread.
 */
final class Tally {

  private static final Logger LOG = Logger.getLogger(Tally.class.getName());

  /** What is counted. */
  enum Event {
    /** Answers of backends that do not parse, and that nobody asked for. */
    ANSWER_UNREADABLE, ANSWER_UNASKED,
    /** Lines of discovery that do not parse: the list stays as it was. */
    DISCOVERY_UNREADABLE,
    /** Attempts without a connection as all are in use. */
    BACKENDS_FULL,
    /** Clients: idle ones that made room, refused as all are in use, and too slow with a request. */
    CLIENT_EVICTED, CLIENT_REFUSED, CLIENT_SLOW
  }

  private static final Event[] EVENTS = Event.values();

  private final long[] counts = new long[EVENTS.length];

  void count(Event event) {
    counts[event.ordinal()]++;
  }

  /** Writes what was counted since the last line behind the caller's present figures. */
  void log(String present) {
    StringBuilder line = new StringBuilder(present);
    for (Event e : EVENTS) {
      if (counts[e.ordinal()] > 0) {
        line.append(' ').append(e).append('=').append(counts[e.ordinal()]);
        counts[e.ordinal()] = 0;
      }
    }
    LOG.info(line::toString);
  }
}
