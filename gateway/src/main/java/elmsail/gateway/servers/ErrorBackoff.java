package elmsail.gateway.servers;

/**
 * Outlier ejection of one server for its error responses. An error ejects the server for a time
 * that doubles with each consecutive error. After that time the server is half-open and gets one
 * probe at a time, until a success ends the ejection. Pure; times in ms on the event loop's clock.
 * The scheme is that of a circuit breaker with exponential backoff.
 */
final class ErrorBackoff {
  static final long INITIAL_EJECTION_MS = 1_000;
  static final long MAX_EJECTION_MS = 8_000;

  /**
   * Additional time after which a non-retryable request may be the probe too, in case there are no
   * retryable requests.
   */
  static final long NON_RETRYABLE_PROBE_DELAY_MS = 2_000;

  /** Maximum age of a recent success; an older one says little about the server's current state. */
  static final long RECENT_SUCCESS_MS = 1_000;

  private static final int MAX_DOUBLINGS = 3;

  private int consecutiveErrors;
  private boolean isEjected;
  private long ejectedAt;
  private long probeAt;
  private boolean probing;
  private long lastSuccessAt = Long.MIN_VALUE / 2;

  /** Whether the server is ejected or half-open. */
  boolean isEjected() {
    return isEjected;
  }

  /** Number of errors since the last success. Errors during one ejection are not counted. */
  int consecutiveErrors() {
    return consecutiveErrors;
  }

  /** When the server was last ejected. */
  long ejectedAt() {
    return ejectedAt;
  }

  /**
   * Records an error response.
   *
   * @return whether it ejects the server; errors during an ejection change nothing
   */
  boolean recordError(long now) {
    if (isEjected && now < probeAt) {
      return false;
    }
    long backoffMs =
        Math.min(
            MAX_EJECTION_MS, INITIAL_EJECTION_MS << Math.min(consecutiveErrors, MAX_DOUBLINGS));
    consecutiveErrors++;
    isEjected = true;
    ejectedAt = now;
    probeAt = now + backoffMs;
    return true;
  }

  /** Records a successful response, which ends the ejection and resets the backoff. */
  void recordSuccess(long now) {
    lastSuccessAt = now;
    consecutiveErrors = 0;
    isEjected = false;
  }

  /** Whether the last response was a success and is recent. */
  boolean servedRecently(long now) {
    return consecutiveErrors == 0 && now - lastSuccessAt <= RECENT_SUCCESS_MS;
  }

  /** Ends the ejection because too many servers are ejected; the backoff is kept. */
  void uneject() {
    isEjected = false;
  }

  /**
   * Whether a request may be sent to the server as a probe.
   *
   * @param retryable whether an error of this request would be retried at another server
   */
  boolean mayProbe(boolean retryable, long now) {
    return isEjected
        && !probing
        && now >= (retryable ? probeAt : probeAt + NON_RETRYABLE_PROBE_DELAY_MS);
  }

  /**
   * Whether a request must not be sent to the server because the server is ejected and the request
   * may not be its probe; see {@link #mayProbe}.
   */
  boolean isAvoided(boolean retryable, long now) {
    return isEjected && !mayProbe(retryable, now);
  }

  /**
   * Called for each request that is sent to the server; returns true if the request becomes the
   * probe of the half-open server.
   */
  boolean tryStartProbe(long now) {
    if (!mayProbe(true, now)) {
      return false;
    }
    probing = true;
    return true;
  }

  /** Called when the response to the probe starts or the probe ends without a response. */
  void endProbe() {
    probing = false;
  }
}
