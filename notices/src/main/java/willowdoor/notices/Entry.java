package willowdoor.notices;

/**
 * One event in the order in which a front door's readers get the events of a customer.
 *
 * @param from count of the first notice that the event covers
 * @param to count of the last notice, or {@link #OPEN_ENDED} for a gap whose end is unknown
 * @param notice null for a gap
 * @param after position of a reader that has received this event and all events before it
 */
record Entry(long atMs, StreamId stream, long from, long to, Notice notice, Position after) {
  static final long OPEN_ENDED = Long.MAX_VALUE;

  int cost() {
    return notice == null ? Notice.OVERHEAD : notice.cost();
  }
}
