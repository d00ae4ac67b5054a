package willowdoor.members;

import java.util.List;

/** The operations of a {@link Membership} that its components use. */
interface ProtocolContext {

  /**
   * Sends the body with gossip: a suspicion or failure of the receiver first, then the least
   * transmitted statements.
   */
  void send(int to, Message.Body body);

  /** Sends the body with exactly these statements, which must fit into the datagram. */
  void send(int to, Message.Body body, List<Statement> statements);

  /** Whether the gossip queue has entries. */
  boolean hasPendingGossip();

  /** Suspects the member because a probe by this process failed. */
  void accuse(int member);

  /** Completes the join: another member's view was received in full, or none responded in time. */
  void joinCompleted();

  void count(Count count);
}
