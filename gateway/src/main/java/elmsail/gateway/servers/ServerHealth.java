package elmsail.gateway.servers;

import java.util.Collection;

/**
 * Health of one server as this gateway observes it, without active health checks: connection
 * failures (backoff), error responses (outlier ejection), inactivity while requests are open, and a
 * 421 response, which shows that a different server uses the address now. Owned by the gateway's
 * event loop; all times in ms on that loop's monotonic clock.
 */
final class ServerHealth {
  /** A server with open requests that has sent nothing for longer than this is suspect. */
  static final long SUSPECT_AFTER_MS = 450;

  /** After this time without received bytes, retryable requests are moved to another server. */
  static final long UNRESPONSIVE_AFTER_MS = 800;

  private final OutlierDetector outliers;
  private final ErrorBackoff errors;
  private final FailureBackoff failures = new FailureBackoff();

  /** The open attempts, oldest first; a live collection that is modified by {@link Server}. */
  private final Collection<Attempt> openAttempts;

  /** The attempt that probes the half-open server, or null. */
  private Attempt probe;

  private boolean hasReturnedMisdirected;
  private long lastReceivedAt = Long.MIN_VALUE;

  ServerHealth(OutlierDetector outliers, Collection<Attempt> openAttempts) {
    this.outliers = outliers;
    this.openAttempts = openAttempts;
    errors = outliers.addServer();
  }

  /** Ends outlier detection for this server because it is no longer listed. */
  void stopOutlierDetection() {
    outliers.removeServer(errors);
  }

  /** Records the head of a response: the server is reachable again. */
  void recordResponse(long now) {
    lastReceivedAt = now;
    failures.recordResponse();
  }

  /** Records body bytes of a response whose head came earlier. */
  void recordBytes(long now) {
    lastReceivedAt = now;
  }

  /** Records a successful response, which ends an ejection. */
  void recordSuccess(long now) {
    errors.recordSuccess(now);
  }

  /**
   * Records an error response of the server; returns true if the server is ejected because of it.
   */
  boolean recordError(long now) {
    return outliers.recordError(errors, now);
  }

  /** Records a failed connect or a request without a response in time. */
  void recordFailure(long now) {
    failures.recordFailure(now);
  }

  /** Records a connection that broke during a request; returns true if this counts as a failure. */
  boolean recordBrokenResponse() {
    return failures.recordBrokenResponse();
  }

  /**
   * Records a response with status 421 (Misdirected Request): a different server uses this server's
   * address now. No further request is sent to the server.
   */
  void recordMisdirected() {
    hasReturnedMisdirected = true;
  }

  /**
   * Whether a response had the status 421, so that a different server uses this server's address
   * now.
   */
  boolean hasReturnedMisdirected() {
    return hasReturnedMisdirected;
  }

  /** Makes the attempt the probe of a half-open server; returns false if no probe is due. */
  boolean tryStartProbe(Attempt attempt) {
    boolean isProbe = errors.tryStartProbe(attempt.startedAt());
    probe = isProbe ? attempt : probe;
    return isProbe;
  }

  /** Ends the probe if this attempt is the probe. */
  void endProbe(Attempt attempt) {
    if (attempt == probe) {
      probe = null;
      errors.endProbe();
    }
  }

  /** Whether the ejection time is over and no probe is in flight. */
  boolean isProbeDue(long now) {
    return errors.mayProbe(true, now);
  }

  /** Whether the server has returned no error since its last success and this success is recent. */
  boolean servedRecently(long now) {
    return errors.servedRecently(now);
  }

  /** Whether the server is ejected or half-open. */
  boolean isEjected() {
    return errors.isEjected();
  }

  /**
   * Whether a request must not be sent to the server because the server is ejected and the request
   * may not be its probe.
   *
   * @param retryable whether an error of this request would be retried at another server
   */
  boolean mustBeAvoided(boolean retryable, long now) {
    return errors.isAvoided(retryable, now);
  }

  /**
   * Whether the server is used only if there is no other, because it failed recently or is
   * inactive.
   */
  boolean isSuspect(long now) {
    return failures.isAvoided(now) || inactivityMs(now) > SUSPECT_AFTER_MS;
  }

  /** Whether idle connections may be dead, so that a new connection is preferred. */
  boolean isConnectionDoubtful(long now) {
    return failures.hasFailedSinceResponse() || inactivityMs(now) > SUSPECT_AFTER_MS;
  }

  /**
   * Whether the server has sent nothing for so long that responses to open requests are unlikely.
   */
  boolean isUnresponsive(long now) {
    return inactivityMs(now) > UNRESPONSIVE_AFTER_MS;
  }

  /**
   * Time without received bytes while the oldest sent request has been open, in ms; 0 if none is
   * open.
   */
  private long inactivityMs(long now) {
    for (Attempt attempt : openAttempts) {
      if (attempt.isSent()) {
        return now - Math.max(attempt.startedAt(), lastReceivedAt);
      }
    }
    return 0;
  }
}
