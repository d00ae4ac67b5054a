package elmsail.gateway.frontend;

import elmsail.config.RoutingConfig.ClientLimits;

/**
 * How long a client connection waits for a request, and for the next one while it is idle. Pure;
 * all times in ms on the event loop's clock.
 */
final class ClientTimeouts {
  /** A body may take as long as a head, and a second more for each of so many bytes. */
  private static final int MIN_BODY_BYTES_PER_SECOND = 64 * 1024;

  /** A connection is closed so much later than announced, so that no request crosses the close. */
  private static final long KEEP_ALIVE_GRACE_MS = 1_000;

  private static final long MIN_CHECK_INTERVAL_MS = 50;

  private final ClientLimits limits;

  ClientTimeouts(ClientLimits limits) {
    this.limits = limits;
  }

  /**
   * Time left for a request that is being received; 0 or less if it is over.
   *
   * @param arrivedAt when its first byte came
   * @param bodyBytes bytes of its body received so far
   * @param headComplete whether its head is complete
   */
  long requestRemainingMs(long arrivedAt, int bodyBytes, boolean headComplete, long now) {
    return arrivedAt
        + limits.headerTimeoutMs()
        + bodyBytes * 1_000L / MIN_BODY_BYTES_PER_SECOND
        + (headComplete ? limits.headerTimeoutMs() : 0)
        - now;
  }

  /** Time left until an idle connection is closed; 0 or less if it is over. */
  long idleRemainingMs(long idleSince, long now) {
    return idleSince + limits.idleTimeoutMs() + KEEP_ALIVE_GRACE_MS - now;
  }

  /** Delay of the first check, and the longest one: a request may begin right after a check. */
  long maxCheckIntervalMs() {
    return limits.headerTimeoutMs();
  }

  /** Delay of the next check of a connection with so much time left. */
  long nextCheckMs(long remainingMs) {
    return Math.max(MIN_CHECK_INTERVAL_MS, Math.min(remainingMs, maxCheckIntervalMs()));
  }

  /** The idle time announced to the client, in s, at least 1. */
  long keepAliveSeconds() {
    return Math.max(1, limits.idleTimeoutMs() / 1_000 - 1);
  }
}
