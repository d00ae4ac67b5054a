package elmsail.gateway.servers;

/**
 * What happens if the picked server returns an error: the error reaches the client, or the request
 * is retried. This decides whether servers that returned errors may be picked.
 */
public enum SelectionMode {
  /** An error reaches the client: a half-open server is avoided until long after its backoff. */
  NOT_RETRYABLE,
  /**
   * A server has returned an error and the next one reaches the client: only servers with a recent
   * success are picked.
   */
  AFTER_ERROR,
  /** An error is retried: a half-open server is picked like any other. */
  PROBE_ALLOWED,
  /** An error is retried at once: a half-open server is picked before all others. */
  PROBE_PREFERRED;

  /** Whether a half-open server may be picked as soon as its backoff is over. */
  boolean probesEarly() {
    return this == PROBE_ALLOWED || this == PROBE_PREFERRED;
  }
}
