package elmsail.gateway.servers;

/**
 * Admission control for batch items: how many this gateway may start at one server now, in slots
 * that the more urgent client requests leave free. Pure functions, safe on any thread.
 */
final class ItemAdmission {
  /**
   * Items start while at most this share of the slots is taken, by the load that the server
   * reports.
   */
  private static final double MAX_UTILIZATION_REPORTED = 0.7;

  /**
   * The same where the load of all gateways is known at once: few items then start beyond it, and a
   * client request finds a free slot.
   */
  private static final double MAX_UTILIZATION_SHARED = 0.9;

  /** The same at a server of another zone, whose load reaches this gateway later. */
  private static final double MAX_UTILIZATION_OTHER_ZONE = 0.5;

  /**
   * With more prompt tokens waiting for prefill an item would delay them, and the tokens of what
   * runs.
   */
  private static final int MAX_PENDING_PREFILL_TOKENS = 2_500;

  /** Share of the slots for the items of one gateway: batch jobs run at few gateways at a time. */
  private static final double MAX_SHARE_PER_GATEWAY = 0.5;

  private static final int MIN_ITEMS_PER_GATEWAY = 2;

  /**
   * Prompts that start together are read between the tokens of all other requests, which are then
   * late.
   */
  private static final long MIN_START_INTERVAL_MS = 80;

  /** With more requests queued nothing of lower priority is added. */
  private static final double MAX_QUEUED = 0.5;

  private ItemAdmission() {}

  /**
   * State of one server.
   *
   * @param maxConcurrency its slots
   * @param running estimate of running requests and items of all gateways
   * @param queued estimate of queued ones
   * @param ownItems this gateway's items there
   * @param sinceLastItemMs since this gateway last started one there
   * @param loadSource where the estimates come from
   * @param pendingPrefillTokens prompt tokens that wait for prefill there
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

  /** How many more items may start; several gateways may start so many at the same time. */
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
