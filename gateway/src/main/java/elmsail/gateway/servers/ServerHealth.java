package elmsail.gateway.servers;

import java.util.Collection;

/**
 * Health of one server as this gateway observes it, without health checks of its own: connection
 * failures (backoff), error responses (outlier ejection), silence while requests are open, and
 * whether another server answers at its address. Owned by the gateway's event loop; all times in ms
 * on that loop's monotonic clock.
 */
final class ServerHealth {
  /** A server with open requests that sent nothing for longer than this is suspect. */
  static final long SUSPECT_AFTER_MS = 450;

  /** After this silence retryable requests leave the server. */
  static final long UNRESPONSIVE_AFTER_MS = 800;

  private final OutlierDetector outliers;
  private final ErrorBackoff errors;
  private final FailureBackoff failures = new FailureBackoff();

  /** Oldest first; the server's own collection, which it changes. */
  private final Collection<Attempt> openAttempts;

  /** The attempt that probes the half-open server, or null. */
  private Attempt probe;

  private boolean isMisdirected;
  private long lastReceivedAt = Long.MIN_VALUE;

  ServerHealth(OutlierDetector outliers, Collection<Attempt> openAttempts) {
    this.outliers = outliers;
    this.openAttempts = openAttempts;
    errors = outliers.addServer();
  }

  /** Ends outlier detection for this server, which is no longer listed. */
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

  /** Records an error response of the server; true if it ejects the server. */
  boolean recordError(long now) {
    return outliers.recordError(errors, now);
  }

  /** Records a failed connect or a request without a response in time. */
  void recordFailure(long now) {
    failures.recordFailure(now);
  }

  /** Records a connection that broke under a request; true if this counts as a failure. */
  boolean recordBrokenResponse() {
    return failures.recordBrokenResponse();
  }

  /** Records that another server answers at this address; no further request is sent to it. */
  void markMisdirected() {
    isMisdirected = true;
  }

  /** Whether another server answers at this address. */
  boolean isMisdirected() {
    return isMisdirected;
  }

  /** Makes the attempt the probe of a half-open server; false if none is due. */
  boolean tryStartProbe(Attempt attempt) {
    boolean isProbe = errors.tryStartProbe(attempt.startedAt());
    probe = isProbe ? attempt : probe;
    return isProbe;
  }

  /** Ends the probe if it is this attempt. */
  void endProbe(Attempt attempt) {
    if (attempt == probe) {
      probe = null;
      errors.endProbe();
    }
  }

  /** Whether the ejection time is over and no probe has been sent yet. */
  boolean awaitsProbe(long now) {
    return errors.mayProbe(true, now);
  }

  /** Whether the last responses were successes and one of them is recent. */
  boolean servedRecently(long now) {
    return errors.servedRecently(now);
  }

  /** Whether the server is ejected or half-open. */
  boolean isEjected() {
    return errors.isEjected();
  }

  /**
   * Whether such a request avoids the server because it is ejected.
   *
   * @param retryable whether an error of the server would be retried elsewhere
   */
  boolean isEjected(boolean retryable, long now) {
    return errors.isAvoided(retryable, now);
  }

  /** Whether it is used only where no other server is left: it failed lately or is silent. */
  boolean isSuspect(long now) {
    return failures.isAvoided(now) || inactivityMs(now) > SUSPECT_AFTER_MS;
  }

  /** Whether an idle connection may be dead, so that a new one is opened first. */
  boolean isConnectionDoubtful(long now) {
    return failures.hasFailedSinceResponse() || inactivityMs(now) > SUSPECT_AFTER_MS;
  }

  /** Whether it has sent nothing for so long that open requests will hardly be answered. */
  boolean isUnresponsive(long now) {
    return inactivityMs(now) > UNRESPONSIVE_AFTER_MS;
  }

  /** Time without any bytes since the oldest open request was sent, in ms; 0 with none open. */
  private long inactivityMs(long now) {
    for (Attempt attempt : openAttempts) {
      if (attempt.isSent()) {
        return now - Math.max(attempt.startedAt(), lastReceivedAt);
      }
    }
    return 0;
  }
}
