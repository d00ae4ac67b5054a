package elmsail.gateway.load;

import elmsail.rpc.messages.ServerLoadEntry;

/**
 * The load at one server.
 *
 * @param requests open client requests, which are those without a complete response
 * @param items open batch items
 * @param pendingPrefillTokens prompt tokens of the open requests and items whose response has not
 *     started
 */
public record ServerLoad(int requests, int items, int pendingPrefillTokens) {
  /** Nothing is open. */
  public static final ServerLoad NONE = new ServerLoad(0, 0, 0);

  /**
   * Larger numbers come from malformed or hostile reports. Numbers are clamped to this value, so
   * that they neither block a server permanently nor overflow.
   */
  private static final int MAX_VALUE = 1_000_000;

  /** The number of open requests and items. */
  public int open() {
    return requests + items;
  }

  /** The sum of this load and another load. */
  public ServerLoad plus(ServerLoad other) {
    return new ServerLoad(
        clamp(requests + other.requests),
        clamp(items + other.items),
        clamp(pendingPrefillTokens + other.pendingPrefillTokens));
  }

  /** The maximum of each number of this load and another load. */
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
