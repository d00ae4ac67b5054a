package willowdoor.notices;

/**
 * One stream as one front door holds it: its most recent notices, and the process that holds the
 * replica.
 */
final class Stream {
  final long customer;
  final StreamId id;

  /** Notices up to this count were never here. */
  final long base;

  /** Whether this front door accepts the stream's notices from publishers. */
  final boolean own;

  /** Process that holds the replica. */
  ReplicaHolder replicaHolder = ReplicaHolder.NONE;

  /** Of an own stream: count of the last notice that a second front door holds. */
  long committed;

  long lastAppendMs;

  /** Time since which the stream's front door is gone, or -1 while it is alive. */
  long originLostMs = -1;

  /** Whether the replica holder has reported that the stream's last notice is held here. */
  boolean endConfirmed;

  /**
   * Whether the end of the stream is known here, or the readers got an open-ended gap because it is
   * not.
   */
  boolean endKnown;

  private final Ring<Held> held;
  private long droppedMs = Long.MIN_VALUE;

  private record Held(Notice notice, long atMs) {}

  Stream(long customer, StreamId id, long base, boolean own, long nowMs) {
    this.customer = customer;
    this.id = id;
    this.base = base;
    this.own = own;
    this.committed = base;
    this.lastAppendMs = nowMs;
    this.held = new Ring<>(base + 1);
  }

  /** Returns the count of the oldest notice held, or of the next notice if none is held. */
  long first() {
    return held.first();
  }

  long last() {
    return held.end() - 1;
  }

  Notice get(long seq) {
    return held.get(seq).notice();
  }

  void append(Notice notice, long nowMs) {
    if (notice.seq() != held.end()) {
      throw new IllegalStateException("notice " + notice.seq() + " after " + last());
    }
    held.add(new Held(notice, nowMs));
    lastAppendMs = nowMs;
  }

  /** Removes a notice if it is the oldest one held. */
  void drop(long seq) {
    if (!held.isEmpty() && held.first() == seq) {
      droppedMs = held.removeFirst().atMs();
    }
  }

  /**
   * Returns the time at which the last removed notice was appended: {@code Long.MIN_VALUE} if none
   * was removed, {@code Long.MAX_VALUE} if unknown.
   */
  long droppedMs() {
    return droppedMs;
  }

  /** Skips all notices up to this count, which are lost to this front door. */
  void skipTo(long count) {
    held.restart(count + 1);
    droppedMs = Long.MAX_VALUE;
  }

  /**
   * Returns the count up to which a peer may get notices. Peers other than the replica holder get
   * only those notices of an own stream that a second front door holds.
   */
  long sendable(int peer) {
    return own && peer != replicaHolder.member() ? committed : last();
  }

  /**
   * Returns the count before the first notice appended at that time or later, among the notices
   * held.
   */
  long lastBefore(long sinceMs) {
    long seq = held.end();
    while (seq > held.first() && held.get(seq - 1).atMs() >= sinceMs) {
      seq--;
    }
    return seq - 1;
  }
}
