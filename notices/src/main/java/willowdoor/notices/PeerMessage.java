package willowdoor.notices;

import java.util.List;

/**
 * A message between front doors about streams. Counts are counts of the stream, from 1; 0 means
 * before the first notice.
 */
public sealed interface PeerMessage {
  /** A reply, sent on the link that the other front door opened. */
  sealed interface Reply extends PeerMessage {}

  /** Announces that the sender holds this stream, and which process holds the replica. */
  record Offer(long customer, StreamId stream, ReplicaHolder replicaHolder)
      implements PeerMessage {}

  /**
   * Requests the notices after a count, and the notices that the offering front door appended in
   * the given ms before its offer. Either may be {@link #UNSPECIFIED}. If an age is given, the
   * answer is a {@code Begin}.
   */
  record Want(StreamId stream, long after, long ageMs) implements Reply {
    static final long UNSPECIFIED = -1;
  }

  /** Answers a {@code Want} with an age: the stream begins for the receiver after this count. */
  record Begin(long customer, StreamId stream, long after, ReplicaHolder replicaHolder)
      implements PeerMessage {}

  record Pass(Notice notice) implements PeerMessage {}

  /** Reports that the notices up to this count that the receiver lacks are no longer retained. */
  record Gap(StreamId stream, long to) implements PeerMessage {}

  /**
   * Reports that the stream's front door has failed, and the count of the last notice that the
   * sender holds.
   */
  record End(StreamId stream, long last) implements PeerMessage {}

  /** Confirms that the sender holds all notices up to this count. */
  record Have(StreamId stream, long upTo) implements Reply {}

  /** Requests notices that a reader of the sender lacks: after one count, up to the other. */
  record Fetch(StreamId stream, long after, long upTo) implements PeerMessage {}

  /**
   * Part of a fetched range: notices up to {@code gapTo} are no longer retained; the listed notices
   * follow in order.
   */
  record Fetched(StreamId stream, long after, long gapTo, List<Notice> notices) implements Reply {
    public Fetched {
      notices = List.copyOf(notices);
    }
  }
}
