package elmsail.gateway.requests;

import elmsail.config.Route;
import elmsail.gateway.servers.SelectionMode;

/**
 * Decides whether a request may be attempted once more: only within the route's maximum number of
 * attempts and the remaining time, and after an attempt that may have run only if the route is
 * idempotent. Pure functions, safe on any thread.
 */
final class RetryPolicy {
  /**
   * The maximum number of attempts that ended before a byte was sent; they do not count against the
   * route's maximum number of attempts.
   */
  private static final int MAX_NOT_SENT_ATTEMPTS = 6;

  /** No further attempt starts if less time remains. */
  private static final long MIN_REMAINING_MS = 5;

  private RetryPolicy() {}

  /**
   * Whether no further attempt may start.
   *
   * @param sentAttempts attempts that were sent and have ended
   * @param notSentAttempts attempts that ended before a byte was sent
   * @param mayHaveRun whether a server may have run the request in one of them
   * @param remainingMs the time until the request's deadline
   */
  static boolean isExhausted(
      Route route, int sentAttempts, int notSentAttempts, boolean mayHaveRun, long remainingMs) {
    return sentAttempts >= Math.max(1, route.maxAttempts())
        || notSentAttempts >= MAX_NOT_SENT_ATTEMPTS
        || mayHaveRun && !route.isIdempotent()
        || remainingMs < MIN_REMAINING_MS;
  }

  /** Whether the route allows another attempt after the current one. */
  static boolean allowsOneMore(Route route, int sentAttempts) {
    return sentAttempts + 1 < route.maxAttempts();
  }

  /** Whether a server's error response may be retried at another server. */
  static boolean allowsErrorRetry(Route route, long remainingMs) {
    return route.isIdempotent() && remainingMs >= MIN_REMAINING_MS;
  }

  /**
   * Returns which servers may be picked for the next attempt.
   *
   * @param afterError whether a server has already responded to this request with an error
   * @param resumes whether the attempt resumes a stream
   */
  static SelectionMode selectionMode(
      Route route, int sentAttempts, boolean afterError, boolean resumes) {
    if (afterError) {
      return SelectionMode.AFTER_ERROR;
    }
    boolean retryable = route.isIdempotent() && allowsOneMore(route, sentAttempts) && !resumes;
    return retryable ? SelectionMode.PROBE_PREFERRED : SelectionMode.NOT_RETRYABLE;
  }
}
