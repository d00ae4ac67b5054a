package willowdoor.notices;

import java.util.List;

/**
 * What front doors say to each other about streams. Counts are of the stream, from 1; 0 means
 * before the first.
 */
public sealed interface PeerMessage {
  /** What goes back on the link that the other front door opened. */
  sealed interface Reply extends PeerMessage {}

  /** I have this stream, and that process keeps a copy. */
  record Offer(long customer, StreamId stream, ReplicaHolder replicaHolder)
      implements PeerMessage {}

  /**
   * Pass me what comes after that count, and what you took in that many ms before you offered it;
   * either may be {@link #UNSPECIFIED}. Where an age is given the answer is a {@code Begin}.
   */
  record Want(StreamId stream, long after, long ageMs) implements Reply {
    static final long UNSPECIFIED = -1;
  }

  /** To a {@code Want} with an age: the stream begins for you after this count. */
  record Begin(long customer, StreamId stream, long after, ReplicaHolder replicaHolder)
      implements PeerMessage {}

  record Pass(Notice notice) implements PeerMessage {}

  /** What you still lack up to this count is not kept any more. */
  record Gap(StreamId stream, long to) implements PeerMessage {}

  /** The stream's front door has failed, and this is the last it confirmed. */
  record End(StreamId stream, long last) implements PeerMessage {}

  /** I hold all up to this count. */
  record Have(StreamId stream, long upTo) implements Reply {}

  /** One of my readers lacks these: after one count, up to the other. */
  record Fetch(StreamId stream, long after, long upTo) implements PeerMessage {}

  /**
   * Some of what was fetched: what lies up to {@code gapTo} is not kept any more, then these in
   * their order.
   */
  record Fetched(StreamId stream, long after, long gapTo, List<Notice> notices) implements Reply {
    public Fetched {
      notices = List.copyOf(notices);
    }
  }
}
