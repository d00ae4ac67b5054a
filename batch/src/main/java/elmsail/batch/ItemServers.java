package elmsail.batch;

import elmsail.config.Route;

/**
 * The model servers, as the runner of batch items uses them; implemented by the gateway. All
 * methods are called on the gateway's event loop, and so are the listeners.
 */
public interface ItemServers {
  /** How many items of the route may be started now without delaying interactive requests. */
  int availableCapacity(Route route);

  /**
   * Sends one item to a server of the route's service, with {@code Elmsail-Expect-Server}.
   *
   * @param tenant that the item is run for
   * @param lastEventId the last event that the caller has, after which the run resumes; -1 to run
   *     from the beginning
   * @return null if there is no capacity; then nothing was sent and the listener is not called
   */
  RunHandle start(
      TenantName tenant, Route route, BatchItem item, long lastEventId, RunListener listener);

  /** A run in flight. */
  interface RunHandle {
    /**
     * Closes the connection, so that the server aborts the run; the listener is not called again.
     */
    void cancel();
  }

  /** Receives the events of one run in order, and then once its outcome. */
  interface RunListener {
    /**
     * One event of the response.
     *
     * @param id as the server numbered it
     */
    void onEvent(long id, byte[] data);

    /** The run has ended; no further call follows. */
    void onEnded(RunOutcome outcome);
  }

  /**
   * How a run ended. Operators see the log text, which stays as it is when a constant is renamed.
   */
  enum RunOutcome {
    /** The response is complete: status 2xx, correct framing, consecutive event ids. */
    COMPLETED("WHOLE"),
    /** The server did not run the item. */
    NOT_RUN("NOT_RUN"),
    /** The server responded with 500. */
    FAILED("FAILED"),
    /** The server responded with 422: the item can never succeed. */
    REJECTED("NEVER"),
    /** The connection was lost, timed out or was malformed: the server may have run the item. */
    OUTCOME_UNKNOWN("BROKEN");

    private final String logText;

    RunOutcome(String logText) {
      this.logText = logText;
    }

    /** The text of this outcome in log lines. */
    @Override
    public String toString() {
      return logText;
    }
  }
}
