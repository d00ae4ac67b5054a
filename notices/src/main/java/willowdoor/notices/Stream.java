package willowdoor.notices;

/**
 * One stream as one front door holds it: the last stretch of its notices, and who else keeps it.
 */
final class Stream {
  final long customer;
  final StreamId id;

  /** What came up to this count was never here. */
  final long base;

  /** Whether this front door takes its notices. */
  final boolean own;

  /** Who keeps a copy. */
  ReplicaHolder replicaHolder = ReplicaHolder.NONE;

  /** Of an own stream: the last that a second front door holds. */
  long committed;

  long lastAppendMs;

  /** Since when its front door is gone, -1 while it is there. */
  long originLostMs = -1;

  /** Whether its keeper has said that this was the last. */
  boolean endConfirmed;

  /** Whether it is known here how it ended, or the readers were told that it is not. */
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

  /** The count of the oldest notice held, or of the next to come where none is. */
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

  /** Lets go of a notice where it is the oldest held. */
  void drop(long seq) {
    if (!held.isEmpty() && held.first() == seq) {
      droppedMs = held.removeFirst().atMs();
    }
  }

  /**
   * When the last notice came that is held no more: the least number where all are, the greatest
   * where unknown.
   */
  long droppedMs() {
    return droppedMs;
  }

  /** All up to this count is lost to this front door. */
  void skipTo(long count) {
    held.restart(count + 1);
    droppedMs = Long.MAX_VALUE;
  }

  /** What others may be passed: of an own stream only what a second front door holds. */
  long sendable(int peer) {
    return own && peer != replicaHolder.member() ? committed : last();
  }

  /** The count before the first notice taken at that time or later, as far as they are held. */
  long lastBefore(long sinceMs) {
    long seq = held.end();
    while (seq > held.first() && held.get(seq - 1).atMs() >= sinceMs) {
      seq--;
    }
    return seq - 1;
  }
}
