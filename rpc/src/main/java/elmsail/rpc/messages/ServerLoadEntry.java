package elmsail.rpc.messages;

import io.protostuff.Tag;

/** The open requests at one server, as part of a {@link LoadReport}. */
public final class ServerLoadEntry {
  /** The server's id in the platform's list. */
  @Tag(1)
  public String server = "";

  /** Requests of clients whose response is not complete yet. */
  @Tag(2)
  public int requests;

  /** Items of batch jobs in flight. */
  @Tag(3)
  public int items;

  /** Prompt tokens of requests and items that have no first byte of a response yet. */
  @Tag(4)
  public int prefillTokens;
}
