package elmsail.rpc.messages;

import io.protostuff.Tag;

/** What is open at one server, as a {@link LoadReport} tells it. */
public final class ServerLoadEntry {
  /** The server's id in the platform's list. */
  @Tag(1)
  public String server = "";

  /** Requests of clients that have no whole answer yet. */
  @Tag(2)
  public int requests;

  /** Items of batch jobs that are under way there. */
  @Tag(3)
  public int items;

  /** Prompt tokens of what is open there and has no first byte of an answer. */
  @Tag(4)
  public int prefillTokens;
}
