package elmsail.gateway.frontend;

import elmsail.config.RoutingConfig.ClientLimits;

/**
 * The timeouts of a client connection: for receiving a request, and for staying idle between
 * requests. Pure; all times in ms on the event loop's clock.
 */
final class ClientTimeouts {
  /** A body has the same timeout as a head, plus one second for each of this many bytes. */
  private static final int MIN_BODY_BYTES_PER_SECOND = 64 * 1024;

  /**
   * An idle connection is closed this long after the configured idle timeout. The timeout that is
   * announced to the client ({@link #keepAliveSeconds}) ends earlier, so that the client sends no
   * request while the connection closes.
   */
  private static final long KEEP_ALIVE_GRACE_MS = 1_000;

  private static final long MIN_CHECK_INTERVAL_MS = 50;

  private final ClientLimits limits;

  ClientTimeouts(ClientLimits limits) {
    this.limits = limits;
  }

  /**
   * The remaining time for receiving a request; 0 or less if the request has timed out.
   *
   * @param arrivedAt when the first byte of the request arrived
   * @param bodyBytes bytes of the request's body received so far
   * @param headComplete whether the request's head is complete
   */
  long requestRemainingMs(long arrivedAt, int bodyBytes, boolean headComplete, long now) {
    return arrivedAt
        + limits.headerTimeoutMs()
        + bodyBytes * 1_000L / MIN_BODY_BYTES_PER_SECOND
        + (headComplete ? limits.headerTimeoutMs() : 0)
        - now;
  }

  /**
   * The remaining time until an idle connection is closed; 0 or less if it must be closed now.
   *
   * @param announcedIdleMs the idle timeout that the client was told, which may exceed the present
   *     one
   */
  long idleRemainingMs(long idleSince, long announcedIdleMs, long now) {
    long idleMs = Math.max(limits.idleTimeoutMs(), announcedIdleMs);
    return idleSince + idleMs + KEEP_ALIVE_GRACE_MS - now;
  }

  /**
   * The delay before the first check, and the maximum delay between checks. The delay equals the
   * header timeout, so that a request that begins right after a check is checked again when its
   * timeout ends.
   */
  long maxCheckIntervalMs() {
    return limits.headerTimeoutMs();
  }

  /** The delay of the next check of a connection with the given remaining time. */
  long nextCheckMs(long remainingMs) {
    return Math.max(MIN_CHECK_INTERVAL_MS, Math.min(remainingMs, maxCheckIntervalMs()));
  }

  /** The keep-alive timeout that is announced to the client, in seconds; at least 1. */
  long keepAliveSeconds() {
    return Math.max(1, limits.idleTimeoutMs() / 1_000 - 1);
  }
}
