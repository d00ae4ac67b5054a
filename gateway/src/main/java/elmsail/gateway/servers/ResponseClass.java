package elmsail.gateway.servers;

/** What the status of a response says of the server that sent it. */
enum ResponseClass {
  /** The server works. */
  SUCCESS,
  /** The server fails at requests that it accepts. */
  SERVER_ERROR,
  /** Nothing: the request was invalid, was not run, or had too little time. */
  NEUTRAL;

  /** A 504 with less time left than this is due to the deadline. */
  static final long DEADLINE_SLACK_MS = 100;

  /**
   * Classifies the head of a response.
   *
   * @param notRun whether it has the header {@code Elmsail-Not-Run}
   * @param remainingMs until the request's deadline
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
