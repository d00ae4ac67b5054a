package elmsail.batch;

import elmsail.config.Route;

/** The servers, as the runner of jobs' items sees them: given by the gateway. All on the loop. */
public interface ItemServers {
  /** How many items of the route may be started now without harm to plain requests. */
  int availableCapacity(Route route);

  /**
   * Sends one item to a server of the route's service, with {@code Elmsail-Expect-Server}.
   *
   * @param lastEventId the last event that the caller has, or -1 to run from the start
   * @return null if nothing was sent, as there is no room
   */
  RunHandle start(Route route, BatchItem item, long lastEventId, RunListener listener);

  /** A run under way. */
  interface RunHandle {
    /** Closes the connection, so the server drops it; nothing more is reported. */
    void cancel();
  }

  /** What becomes of a run, in order; {@code ended} once. */
  interface RunListener {
    /** One event of the answer, with its number and its data, in order. */
    void onEvent(long id, byte[] data);

    /** The run is over; nothing is called after it. */
    void onEnded(RunOutcome outcome);
  }

  /** How a run ended. */
  enum RunOutcome {
    /** The whole answer came (2xx, framing complete, right ids). */
    WHOLE,
    /** The server did not run it. */
    NOT_RUN,
    /** An answer of 500. */
    FAILED,
    /** An answer of 422: it can never be done. */
    NEVER,
    /** Cut, silent, garbled or anything else: it may have run. */
    BROKEN
  }
}
