package elmsail.batch;

import elmsail.config.Route;

/**
 * Access to the model servers for the runner of batch items; implemented by the gateway. All
 * methods and all listeners are called on the gateway's event loop.
 */
public interface ItemServers {
  /** The number of items of the route that may start now without delaying interactive requests. */
  int availableCapacity(Route route);

  /**
   * Sends one item to a server of the route's service, with {@code Elmsail-Expect-Server}.
   *
   * @param tenant the tenant that the item is run for
   * @param lastEventId the id of the last event that the caller has received, after which the run
   *     resumes; -1 to run from the beginning
   * @return null if there is no capacity; in this case nothing was sent and the listener is not
   *     called
   */
  RunHandle start(
      TenantName tenant, Route route, BatchItem item, long lastEventId, RunListener listener);

  /** A run in flight. */
  interface RunHandle {
    /**
     * Closes the connection, which makes the server abort the run. The listener is not called
     * again.
     */
    void cancel();
  }

  /** Receives the events of one run in order, followed by the outcome of the run. */
  interface RunListener {
    /**
     * An event of the response was received.
     *
     * @param id the number that the server gave to the event
     */
    void onEvent(long id, byte[] data);

    /** The run has ended; the listener is not called again. */
    void onEnded(RunOutcome outcome);
  }

  /**
   * How a run ended. Operators read the log text, which must not change when a constant is renamed.
   */
  enum RunOutcome {
    /** The response is complete: status 2xx, correct framing, consecutive event ids. */
    COMPLETED("WHOLE"),
    /** The server did not run the item. */
    NOT_RUN("NOT_RUN"),
    /** The server responded with status 500. */
    FAILED("FAILED"),
    /** The server responded with status 422: the item can never succeed. */
    REJECTED("NEVER"),
    /**
     * The connection was lost, the run timed out or the response was malformed: the server may have
     * run the item.
     */
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
