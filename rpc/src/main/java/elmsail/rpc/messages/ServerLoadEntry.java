package elmsail.rpc.messages;

import io.protostuff.Tag;

/** The load that is open at one server. */
public final class ServerLoadEntry {
  /** The server's id in the platform's list. */
  @Tag(1)
  public String server = "";

  /** Requests of clients whose response is not complete. */
  @Tag(2)
  public int requests;

  /** Items of batch jobs that are running there. */
  @Tag(3)
  public int items;

  /** Prompt tokens of requests and items that have brought no byte of a response. */
  @Tag(4)
  public int prefillTokens;
}
