package elmsail.gateway.servers;

/** What the status of an answer says of the server that gave it. */
enum ResponseClass {
  /** It serves. */
  SUCCESS,
  /** It fails at requests that it accepts. */
  SERVER_ERROR,
  /** Nothing: the request was wrong, or was not run, or had too little time. */
  NEUTRAL;

  /** A 504 with less time left than this is about the deadline. */
  static final long DEADLINE_SLACK_MS = 100;

  /**
   * Of an answer's head.
   *
   * @param notRun whether it says {@code Elmsail-Not-Run}
   * @param remainingMs the time that the request has left
   */
  static ResponseClass of(int status, boolean notRun, long remainingMs) {
    if (notRun) {
      return NEUTRAL;
    }
    if (status >= 200 && status < 300) {
      return SUCCESS;
    }
    return switch (status) {
      case 500, 502 -> SERVER_ERROR;
      case 504 -> remainingMs > DEADLINE_SLACK_MS ? SERVER_ERROR : NEUTRAL;
      default -> NEUTRAL;
    };
  }
}
