package elmsail.gateway.requests;

/** How one attempt to send a request to a server ended. */
public enum AttemptOutcome {
  /** No byte of the request was sent. */
  NOT_SENT(false, false),
  /** Bytes of the request may have been sent, and it is unknown whether the server ran it. */
  UNKNOWN(true, false),
  /** The server reported that it has not run the request and will not run it. */
  NOT_RUN(false, false),
  /** The server sent a response that is relayed to the client. */
  RESPONDED(true, true);

  private final boolean mayHaveRun;
  private final boolean isRelayed;

  AttemptOutcome(boolean mayHaveRun, boolean isRelayed) {
    this.mayHaveRun = mayHaveRun;
    this.isRelayed = isRelayed;
  }

  /**
   * Whether the server may have run the request, so that a non-idempotent request must not be
   * retried.
   */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Whether the response of the server is relayed to the client. */
  public boolean isRelayed() {
    return isRelayed;
  }

  /** Returns the outcome of an attempt that ended without a complete response. */
  public static AttemptOutcome ofFailure(boolean sent) {
    return sent ? UNKNOWN : NOT_SENT;
  }

  /**
   * Returns the outcome of an attempt by the head of its response.
   *
   * @param notRun whether the response has the header {@code Elmsail-Not-Run}
   * @param hasPostmark whether the response has the header {@code Elmsail-Postmark}; without this
   *     header, the outcome of a 2xx response is {@link #UNKNOWN}
   */
  public static AttemptOutcome ofResponse(int status, boolean notRun, boolean hasPostmark) {
    if (status == 421) {
      return NOT_RUN;
    }
    if (status >= 200 && status < 300) {
      return hasPostmark && !notRun ? RESPONDED : UNKNOWN;
    }
    if (notRun) {
      return NOT_RUN;
    }
    // These statuses are not relayed: they would report to the client that the request has not run,
    // which the server did not report.
    boolean claimsNotRun = status == 429 || status == 503 || status == 408;
    return claimsNotRun ? UNKNOWN : RESPONDED;
  }

  /** Whether a request may be sent to another server after an attempt with this outcome. */
  public boolean mayRetry(boolean idempotent) {
    return this != RESPONDED && (!mayHaveRun || idempotent);
  }

  /**
   * Returns the status of a local reply.
   *
   * @param anyMayHaveRun whether a server may have run the request in any attempt
   * @param timedOut whether the request's deadline has passed
   */
  public static int localReplyStatus(boolean anyMayHaveRun, boolean timedOut) {
    if (!anyMayHaveRun) {
      return 503;
    }
    return timedOut ? 504 : 502;
  }
}
