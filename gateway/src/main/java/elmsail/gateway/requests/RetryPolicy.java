package elmsail.gateway.requests;

import elmsail.config.Route;
import elmsail.gateway.servers.SelectionMode;

/**
 * Decides whether a request may be attempted once more: within the route's number of attempts and
 * the remaining time, and never after an attempt that may have run unless the route is idempotent.
 * Pure functions, safe on any thread.
 */
final class RetryPolicy {
  /** Attempts without a byte sent; they do not count against the route's number of attempts. */
  private static final int MAX_NOT_SENT_ATTEMPTS = 6;

  /** With less time left no further attempt starts. */
  private static final long MIN_REMAINING_MS = 5;

  private RetryPolicy() {}

  /**
   * Whether no further attempt may start.
   *
   * @param sentAttempts attempts that were sent and have ended
   * @param notSentAttempts attempts that ended before a byte was sent
   * @param mayHaveRun whether a server may have run one of them
   * @param remainingMs until the request's deadline
   */
  static boolean isExhausted(
      Route route, int sentAttempts, int notSentAttempts, boolean mayHaveRun, long remainingMs) {
    return sentAttempts >= Math.max(1, route.maxAttempts())
        || notSentAttempts >= MAX_NOT_SENT_ATTEMPTS
        || mayHaveRun && !route.isIdempotent()
        || remainingMs < MIN_REMAINING_MS;
  }

  /** Whether the route allows another attempt after the one that runs now. */
  static boolean allowsOneMore(Route route, int sentAttempts) {
    return sentAttempts + 1 < route.maxAttempts();
  }

  /** Whether a server's error response may be retried at another server. */
  static boolean allowsErrorRetry(Route route, long remainingMs) {
    return route.isIdempotent() && remainingMs >= MIN_REMAINING_MS;
  }

  /**
   * Which servers the next attempt may get.
   *
   * @param afterError whether a server has already answered this request with an error
   * @param resumes whether the attempt continues a stream
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
