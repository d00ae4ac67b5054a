package elmsail.gateway.servers;

/** What the status of a response indicates about the health of the server. */
enum ResponseClass {
  /** The server works correctly. */
  SUCCESS,
  /** The server fails to process requests that it accepts. */
  SERVER_ERROR,
  /** No indication: the request was invalid, was not run, or had too little time left. */
  NEUTRAL;

  /** A 504 response with at most this much time left is attributed to the request's deadline. */
  static final long DEADLINE_SLACK_MS = 100;

  /**
   * Classifies the head of a response.
   *
   * @param notRun whether the response has the header {@code Elmsail-Not-Run}
   * @param remainingMs remaining time until the request's deadline
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
