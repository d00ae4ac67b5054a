package willowdoor.notices;

/**
 * One event in the order in which a front door's readers get a customer's.
 *
 * @param from the first count it speaks of
 * @param to the last, or {@link #OPEN_ENDED} for a gap without an end
 * @param notice null for a gap
 * @param after how far a reader is once it has this and all before
 */
record Entry(long atMs, StreamId stream, long from, long to, Notice notice, Position after) {
  static final long OPEN_ENDED = Long.MAX_VALUE;

  int cost() {
    return notice == null ? Notice.OVERHEAD : notice.cost();
  }
}
