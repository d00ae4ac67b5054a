package willowdoor.members;

import java.util.List;

/**
 * One datagram. Members are told by their place in the roster of whoever holds the object; on the
 * wire by name.
 *
 * @param news what it tells besides
 */
record Message(Header header, Body body, List<Statement> news) {

  /** More than fit into a datagram. */
  static final int MOST_NEWS = 256;

  /**
   * Who says it, and what it goes by.
   *
   * @param digest of its view
   * @param rosterVersion and the hash of the names there
   */
  record Header(
      int from, int to, long generation, long digest, int rosterVersion, int rosterHash) {}

  /** What it is about. */
  sealed interface Body {}

  /** Are you there? */
  record Ping(long seq) implements Body {}

  /** I am; or, to one that asked for a probe, the subject is. */
  record Ack(long seq, int subject) implements Body {}

  /** Probe the subject for me; the answer is of use for so many milliseconds. */
  record PingRequest(long seq, int subject, int waitMs) implements Body {
    static final int MOST_WAIT_MS = 60_000;
  }

  /** The subject did not answer me. */
  record Nack(long seq, int subject) implements Body {}

  /** News only. */
  record News() implements Body {}

  /** Tell me what differs from these prints of my view's pages, which the number salts. */
  record Exchange(long seq, byte[] prints) implements Body {}

  /**
   * One part of the answer, from 0; so many of the pages that differ were left out of all of it.
   */
  record Pages(long seq, int part, int parts, int left) implements Body {}

  /** What the asker knows better than the answer. */
  record Better(long seq) implements Body {}
}
