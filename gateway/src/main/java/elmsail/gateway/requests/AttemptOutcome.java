package elmsail.gateway.requests;

/** What one attempt at a server came to. */
public enum AttemptOutcome {
  /** No byte of it left. */
  NOT_SENT(false, false),
  /** It left, and nothing is sure. */
  UNKNOWN(true, false),
  /** The server says that it did not and will not run it. */
  NOT_RUN(false, false),
  /** An answer of the server's own that is passed on. */
  RESPONDED(true, true);

  private final boolean mayHaveRun;
  private final boolean isRelayed;

  AttemptOutcome(boolean mayHaveRun, boolean isRelayed) {
    this.mayHaveRun = mayHaveRun;
    this.isRelayed = isRelayed;
  }

  /** Whether the server may have run the request, so that an unsafe one must not be sent again. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Whether an answer of the server is passed on. */
  public boolean isRelayed() {
    return isRelayed;
  }

  /** Of a try that came to no whole answer. */
  public static AttemptOutcome ofFailure(boolean sent) {
    return sent ? UNKNOWN : NOT_SENT;
  }

  /**
   * Of an answer.
   *
   * @param notRun whether it says {@code Elmsail-Not-Run}
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
    // These would promise to the client what the server did not.
    boolean claimsNotRun = status == 429 || status == 503 || status == 408;
    return claimsNotRun ? UNKNOWN : RESPONDED;
  }

  /** Whether a request may go to a further server after such a try. */
  public boolean mayRetry(boolean repeatable) {
    return this != RESPONDED && (!mayHaveRun || repeatable);
  }

  /**
   * The status of our own where nothing was passed on: of all the attempts, whether one may have
   * run.
   */
  public static int localReplyStatus(boolean anyMayHaveRun, boolean timedOut) {
    if (!anyMayHaveRun) {
      return 503;
    }
    return timedOut ? 504 : 502;
  }
}
