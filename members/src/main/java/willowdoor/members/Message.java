package willowdoor.members;

import java.util.List;

/**
 * The contents of one datagram. The objects identify members by their index in the local roster;
 * the wire format identifies them by name.
 *
 * @param statements the gossip that the message carries
 */
record Message(Header header, Body body, List<Statement> statements) {

  /** More statements than fit into a datagram. */
  static final int MAX_STATEMENTS = 256;

  /**
   * Sender, receiver and the state of the sender.
   *
   * @param generation the sender's generation
   * @param digest the digest of the sender's view
   * @param rosterVersion the version of the sender's roster
   * @param rosterHash the hash of the names and numbers in the sender's roster
   */
  record Header(
      int from, int to, long generation, long digest, int rosterVersion, int rosterHash) {}

  /** The fields specific to the kind of message. */
  sealed interface Body {}

  /** Probes the receiver. */
  record Ping(long seq) implements Body {}

  /** Acknowledges a ping; as the response to a ping request, reports that the subject acked. */
  record Ack(long seq, int subject) implements Body {}

  /** Requests an indirect probe of the subject; the response is useful for {@code waitMs}. */
  record PingRequest(long seq, int subject, int waitMs) implements Body {
    static final int MAX_WAIT_MS = 60_000;
  }

  /** The response to a ping request whose subject did not ack. */
  record Nack(long seq, int subject) implements Body {}

  /** Carries gossip only. */
  record Gossip() implements Body {}

  /**
   * Requests the pages of the receiver's view that differ from the sender's.
   *
   * @param pageChecksums checksums of the sender's pages, salted with {@code seq}
   */
  record ExchangeRequest(long seq, byte[] pageChecksums) implements Body {}

  /**
   * One part of the response to an exchange request.
   *
   * @param part the number of this part, from 0
   * @param parts number of parts of the response
   * @param remaining number of statements on differing pages that the whole response omits
   */
  record ExchangeResponse(long seq, int part, int parts, int remaining) implements Body {}

  /** Statements of the requester that supersede those in an exchange response. */
  record ExchangeUpdate(long seq) implements Body {}
}
