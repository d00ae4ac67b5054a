package elmsail.gateway.load;

import elmsail.rpc.messages.ServerLoadEntry;

/**
 * What is open at one server.
 *
 * @param requests client requests without a complete response
 * @param items open batch items
 * @param pendingPrefillTokens prompt tokens of those without the first byte of a response
 */
public record ServerLoad(int requests, int items, int pendingPrefillTokens) {
  /** Nothing is open. */
  public static final ServerLoad NONE = new ServerLoad(0, 0, 0);

  /**
   * Larger numbers are malformed or hostile; they must neither block a server for good nor
   * overflow.
   */
  private static final int MAX_VALUE = 1_000_000;

  /** Requests and items together. */
  public int open() {
    return requests + items;
  }

  /** The sum of both. */
  public ServerLoad plus(ServerLoad other) {
    return new ServerLoad(
        clamp(requests + other.requests),
        clamp(items + other.items),
        clamp(pendingPrefillTokens + other.pendingPrefillTokens));
  }

  /** The larger of each number. */
  public ServerLoad max(ServerLoad other) {
    return new ServerLoad(
        Math.max(requests, other.requests),
        Math.max(items, other.items),
        Math.max(pendingPrefillTokens, other.pendingPrefillTokens));
  }

  static ServerLoad of(ServerLoadEntry entry) {
    return new ServerLoad(clamp(entry.requests), clamp(entry.items), clamp(entry.prefillTokens));
  }

  ServerLoadEntry toEntry(String server) {
    ServerLoadEntry entry = new ServerLoadEntry();
    entry.server = server;
    entry.requests = requests;
    entry.items = items;
    entry.prefillTokens = pendingPrefillTokens;
    return entry;
  }

  private static int clamp(int value) {
    return Math.max(0, Math.min(MAX_VALUE, value));
  }
}
