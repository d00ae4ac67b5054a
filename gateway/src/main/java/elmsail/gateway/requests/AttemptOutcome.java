package elmsail.gateway.requests;

/** How one attempt at a server ended. */
public enum AttemptOutcome {
  /** No byte of the request was sent. */
  NOT_SENT(false, false),
  /** It was sent, and the outcome is unknown. */
  UNKNOWN(true, false),
  /** The server says that it neither has run nor will run it. */
  NOT_RUN(false, false),
  /** The server's own response, which is relayed. */
  RESPONDED(true, true);

  private final boolean mayHaveRun;
  private final boolean isRelayed;

  AttemptOutcome(boolean mayHaveRun, boolean isRelayed) {
    this.mayHaveRun = mayHaveRun;
    this.isRelayed = isRelayed;
  }

  /**
   * Whether the server may have run the request, so that a non-idempotent one must not be retried.
   */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Whether a response of the server is relayed. */
  public boolean isRelayed() {
    return isRelayed;
  }

  /** Of an attempt without a complete response. */
  public static AttemptOutcome ofFailure(boolean sent) {
    return sent ? UNKNOWN : NOT_SENT;
  }

  /**
   * Of a response.
   *
   * @param notRun whether it has the header {@code Elmsail-Not-Run}
   * @param hasPostmark whether it has a postmark
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
    // Relayed, these would tell the client that the request has not run, which the server did not
    // say.
    boolean claimsNotRun = status == 429 || status == 503 || status == 408;
    return claimsNotRun ? UNKNOWN : RESPONDED;
  }

  /** Whether a request may be sent to another server after such an attempt. */
  public boolean mayRetry(boolean idempotent) {
    return this != RESPONDED && (!mayHaveRun || idempotent);
  }

  /**
   * The status of a local reply.
   *
   * @param anyMayHaveRun whether a server may have run any of the attempts
   * @param timedOut whether the request's deadline has passed
   */
  public static int localReplyStatus(boolean anyMayHaveRun, boolean timedOut) {
    if (!anyMayHaveRun) {
      return 503;
    }
    return timedOut ? 504 : 502;
  }
}
