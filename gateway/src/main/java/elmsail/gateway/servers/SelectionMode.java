package elmsail.gateway.servers;

/** What an error of the chosen server would cost the request, and so which servers may get it. */
public enum SelectionMode {
  /**
   * An error reaches the client: a half-open server is passed over until long after its backoff.
   */
  NOT_RETRYABLE,
  /** A server has erred at it, and an error more reaches the client: one that served lately. */
  AFTER_ERROR,
  /** An error is made up for: a half-open server is chosen as any other. */
  PROBE_ALLOWED,
  /** An error is made up for at once: a half-open server is chosen before all others. */
  PROBE_PREFERRED;

  /** Whether a server may be tried again as soon as its backoff is over. */
  boolean probesEarly() {
    return this == PROBE_ALLOWED || this == PROBE_PREFERRED;
  }
}
