package elmsail.gateway.servers;

/**
 * Admission control for batch items: how many items this gateway may start at one server now. Items
 * use only slots that client requests, which have a higher priority, leave free. Pure functions,
 * safe on any thread.
 */
final class ItemAdmission {
  /**
   * Maximum share of occupied slots up to which items start, if the load is known from the server's
   * reports.
   */
  private static final double MAX_UTILIZATION_REPORTED = 0.7;

  /**
   * The same limit if the load of all gateways is known. This load is up to date, so that few items
   * start beyond the limit and client requests find a free slot.
   */
  private static final double MAX_UTILIZATION_SHARED = 0.9;

  /** The same limit for a server in another zone, whose load is received later. */
  private static final double MAX_UTILIZATION_OTHER_ZONE = 0.5;

  /**
   * Maximum number of prompt tokens that wait for prefill. With more, another item would delay
   * these prompts and the tokens of running requests.
   */
  private static final int MAX_PENDING_PREFILL_TOKENS = 2_500;

  /**
   * Maximum share of a server's slots for the items of one gateway. Batch jobs run at few gateways
   * at a time.
   */
  private static final double MAX_SHARE_PER_GATEWAY = 0.5;

  private static final int MIN_ITEMS_PER_GATEWAY = 2;

  /**
   * Minimum time between two item starts at a server. Prefill is interleaved with token generation,
   * so that prompts that start together delay the tokens of all other requests.
   */
  private static final long MIN_START_INTERVAL_MS = 80;

  /** No item starts if the estimated number of queued requests is at least this. */
  private static final double MAX_QUEUED = 0.5;

  private ItemAdmission() {}

  /**
   * State of one server.
   *
   * @param maxConcurrency the server's slots
   * @param running estimate of running requests and items of all gateways
   * @param queued estimate of queued requests and items of all gateways
   * @param ownItems this gateway's open items at the server
   * @param sinceLastItemMs time since this gateway last started an item at the server
   * @param loadSource where the estimates come from
   * @param pendingPrefillTokens prompt tokens that wait for prefill at the server
   */
  record ServerState(
      int maxConcurrency,
      double running,
      double queued,
      int ownItems,
      long sinceLastItemMs,
      LoadSource loadSource,
      int pendingPrefillTokens) {}

  /** Where the estimates of a server's load come from. */
  enum LoadSource {
    /** The server's own reports, which may be old. */
    REPORTED,
    /** The loads of all gateways; the server is in this gateway's zone. */
    SHARED,
    /** The loads of all gateways; the server is in another zone. */
    SHARED_OTHER_ZONE
  }

  /**
   * How many more items this gateway may start. Other gateways may start as many at the same time.
   */
  static int availableCapacity(ServerState server) {
    boolean shared = server.loadSource() != LoadSource.REPORTED;
    boolean prefillBacklogged =
        shared && server.pendingPrefillTokens() > MAX_PENDING_PREFILL_TOKENS;
    if (server.sinceLastItemMs() < MIN_START_INTERVAL_MS
        || server.queued() >= MAX_QUEUED
        || prefillBacklogged) {
      return 0;
    }
    int maxItems =
        Math.max(MIN_ITEMS_PER_GATEWAY, (int) (server.maxConcurrency() * MAX_SHARE_PER_GATEWAY));
    int freeSlots =
        (int) (server.maxConcurrency() * maxUtilization(server.loadSource()) - server.running());
    return Math.max(0, Math.min(maxItems - server.ownItems(), freeSlots));
  }

  private static double maxUtilization(LoadSource loadSource) {
    return switch (loadSource) {
      case REPORTED -> MAX_UTILIZATION_REPORTED;
      case SHARED -> MAX_UTILIZATION_SHARED;
      case SHARED_OTHER_ZONE -> MAX_UTILIZATION_OTHER_ZONE;
    };
  }
}
