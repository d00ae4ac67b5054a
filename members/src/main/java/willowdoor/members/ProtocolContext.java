package willowdoor.members;

import java.util.List;

/** What the parts of a {@link Membership} ask of it. */
interface ProtocolContext {

  /**
   * Sends it with news: what the receiver should hear of itself first, then what was told least.
   */
  void send(int to, Message.Body body);

  /** Sends it with these statements only, which fit. */
  void send(int to, Message.Body body, List<Statement> statements);

  /** Whether there is news that was not told often enough. */
  boolean hasPendingGossip();

  /** This process found that the member does not answer. */
  void accuse(int member);

  /** All that others know was heard, or nobody answers: this process is there now. */
  void joinCompleted();

  void count(Count count);
}
