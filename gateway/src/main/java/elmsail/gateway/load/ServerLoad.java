package elmsail.gateway.load;

import elmsail.rpc.messages.ServerLoadEntry;

/**
 * What is open at one server.
 *
 * @param requests clients' requests without a whole answer
 * @param items batch items under way
 * @param unreadTokens prompt tokens of those without the first byte of an answer
 */
public record ServerLoad(int requests, int items, int unreadTokens) {
  /** Nothing is open. */
  public static final ServerLoad NONE = new ServerLoad(0, 0, 0);

  /** A garbled or hostile number must not shut a server out for good, nor overflow a sum. */
  private static final int MOST = 1_000_000;

  /** Requests and items together. */
  public int open() {
    return requests + items;
  }

  /** The sum of both. */
  public ServerLoad plus(ServerLoad other) {
    return new ServerLoad(
        bounded(requests + other.requests),
        bounded(items + other.items),
        bounded(unreadTokens + other.unreadTokens));
  }

  /** Of each number the larger one. */
  public ServerLoad atLeast(ServerLoad other) {
    return new ServerLoad(
        Math.max(requests, other.requests),
        Math.max(items, other.items),
        Math.max(unreadTokens, other.unreadTokens));
  }

  static ServerLoad of(ServerLoadEntry entry) {
    return new ServerLoad(
        bounded(entry.requests), bounded(entry.items), bounded(entry.prefillTokens));
  }

  ServerLoadEntry entry(String server) {
    ServerLoadEntry entry = new ServerLoadEntry();
    entry.server = server;
    entry.requests = requests;
    entry.items = items;
    entry.prefillTokens = unreadTokens;
    return entry;
  }

  private static int bounded(int told) {
    return Math.max(0, Math.min(MOST, told));
  }
}
