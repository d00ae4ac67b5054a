package elmsail.gateway.servers;

/**
 * The circuit breaker of one server for errors that it answers itself. An error ejects the server
 * for a time that doubles with each further error; when the time is over the server is half-open
 * and gets one probe at a time, until a success closes the breaker.
 */
final class ErrorBackoff {
  static final long INITIAL_EJECTION_MS = 1_000;
  static final long MAX_EJECTION_MS = 8_000;

  /** Where nothing that may be repeated comes, any request may probe so much later. */
  static final long NON_RETRYABLE_PROBE_DELAY_MS = 2_000;

  /** A success so long ago says little of a server now. */
  static final long RECENT_SUCCESS_MS = 1_000;

  private static final int MAX_DOUBLINGS = 3;

  private int consecutiveErrors;
  private boolean isEjected;
  private long ejectedAt;
  private long probeAt;
  private boolean probing;
  private long lastSuccessAt = Long.MIN_VALUE / 2;

  /** Whether the server is avoided or half-open. */
  boolean isEjected() {
    return isEjected;
  }

  /** Errors since the last success; those that came while it was avoided count as one. */
  int consecutiveErrors() {
    return consecutiveErrors;
  }

  /** When it was last ejected. */
  long ejectedAt() {
    return ejectedAt;
  }

  /**
   * The server answered with an error.
   *
   * @return whether this ejects it; errors of requests that were under way then change nothing
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

  /** The server answered with a success: closes the breaker. */
  void recordSuccess(long now) {
    lastSuccessAt = now;
    consecutiveErrors = 0;
    isEjected = false;
  }

  /** Whether it served a request just now and has not erred since. */
  boolean servedRecently(long now) {
    return consecutiveErrors == 0 && now - lastSuccessAt <= RECENT_SUCCESS_MS;
  }

  /** Ends the ejection for the sake of the other servers; the next error doubles as before. */
  void uneject() {
    isEjected = false;
  }

  /**
   * Whether a request may be sent to it as a probe.
   *
   * @param retryable whether an error of this request would be retried elsewhere
   */
  boolean mayProbe(boolean retryable, long now) {
    return isEjected
        && !probing
        && now >= (retryable ? probeAt : probeAt + NON_RETRYABLE_PROBE_DELAY_MS);
  }

  /** Whether the server is to be passed over for such a request; see {@link #mayProbe}. */
  boolean isAvoided(boolean retryable, long now) {
    return isEjected && !mayProbe(retryable, now);
  }

  /** A request is sent to it: whether this is the probe of a half-open server. */
  boolean tryStartProbe(long now) {
    if (!mayProbe(true, now)) {
      return false;
    }
    probing = true;
    return true;
  }

  /** The probe has its answer or will have none. */
  void endProbe() {
    probing = false;
  }
}
