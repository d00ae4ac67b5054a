package elmsail.gateway.servers;

/**
 * How many batch items this gateway may start at one server now: in the places that clients'
 * requests leave, as those are more urgent. Pure.
 */
final class ItemAdmission {
  /** Items are started while no more than this share of the places is taken. */
  private static final double MAX_UTILIZATION_REPORTED = 0.7;

  /**
   * Likewise where all gateways' requests are known at once: few are then started beyond it, and a
   * request finds a place that is free.
   */
  private static final double MAX_UTILIZATION_SHARED = 0.9;

  /** Likewise at a server of another zone, of which this gateway hears some time later. */
  private static final double MAX_UTILIZATION_OTHER_ZONE = 0.5;

  /** Where prompts wait to be read, an item's would delay them, and the tokens of what runs. */
  private static final int MAX_PENDING_PREFILL_TOKENS = 2_500;

  /** One gateway's items may take this share: batch jobs are at few gateways at a time. */
  private static final double MAX_SHARE_PER_GATEWAY = 0.5;

  private static final int MIN_ITEMS_PER_GATEWAY = 2;

  /** Prompts that begin together are read between all others' tokens, which then come too late. */
  private static final long MIN_START_INTERVAL_MS = 80;

  /** With more than this waiting there nothing that is less urgent is added. */
  private static final double MAX_QUEUED = 0.5;

  private ItemAdmission() {}

  /**
   * One server as it stands.
   *
   * @param maxConcurrency its places
   * @param running estimate of the requests and items of all gateways that run
   * @param queued likewise of those that wait
   * @param ownItems this gateway's items there
   * @param sinceLastItemMs since this gateway last started one there
   * @param loadSource where the estimates come from
   * @param pendingPrefillTokens of prompts that wait there to be read
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
    /** From what the server told some time ago. */
    REPORTED,
    /** From what all gateways of its zone, this one's, have open. */
    SHARED,
    /** Likewise, of another zone. */
    SHARED_OTHER_ZONE
  }

  /** How many more items may be started; several gateways may start so many at once. */
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

  private static double maxUtilization(LoadSource sight) {
    return switch (sight) {
      case REPORTED -> MAX_UTILIZATION_REPORTED;
      case SHARED -> MAX_UTILIZATION_SHARED;
      case SHARED_OTHER_ZONE -> MAX_UTILIZATION_OTHER_ZONE;
    };
  }
}
