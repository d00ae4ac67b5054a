package elmsail.gateway.requests;

/** What one attempt at a server came to. */
public enum Outcome {
  /** No byte of it left. */
  UNSENT(false, false),
  /** It left, and nothing is sure. */
  SENT(true, false),
  /** The server says that it did not and will not run it. */
  NOT_RUN(false, false),
  /** An answer of the server's own that is passed on. */
  ANSWERED(true, true);

  private final boolean mayHaveRun;
  private final boolean passed;

  Outcome(boolean mayHaveRun, boolean passed) {
    this.mayHaveRun = mayHaveRun;
    this.passed = passed;
  }

  /** Whether the server may have run the request, so that an unsafe one must not be sent again. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Whether an answer of the server is passed on. */
  public boolean passed() {
    return passed;
  }

  /** Of a try that came to no whole answer. */
  public static Outcome failed(boolean sent) {
    return sent ? SENT : UNSENT;
  }

  /**
   * Of an answer.
   *
   * @param notRun whether it says {@code Elmsail-Not-Run}
   * @param stamped whether it has a postmark
   */
  public static Outcome answered(int status, boolean notRun, boolean stamped) {
    if (status == 421) {
      return NOT_RUN;
    }
    if (status >= 200 && status < 300) {
      return stamped && !notRun ? ANSWERED : SENT;
    }
    if (notRun) {
      return NOT_RUN;
    }
    // These would promise to the client what the server did not.
    boolean promise = status == 429 || status == 503 || status == 408;
    return promise ? SENT : ANSWERED;
  }

  /** Whether a request may go to a further server after such a try. */
  public boolean mayGoOn(boolean repeatable) {
    return this != ANSWERED && (!mayHaveRun || repeatable);
  }

  /**
   * The status of our own where nothing was passed on: of all the attempts, whether one may have
   * run.
   */
  public static int ownStatus(boolean anyMayHaveRun, boolean timeOver) {
    if (!anyMayHaveRun) {
      return 503;
    }
    return timeOver ? 504 : 502;
  }
}
