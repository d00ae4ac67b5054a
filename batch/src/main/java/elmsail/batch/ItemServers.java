package elmsail.batch;

import elmsail.config.Route;

/** The servers, as the runner of jobs' items sees them: given by the gateway. All on the loop. */
public interface ItemServers {
  /** How many items of the route may be started now without harm to plain requests. */
  int room(Route route);

  /**
   * Sends one item to a server of the route's service, with {@code Elmsail-Expect-Server}.
   *
   * @param lastEventId the last event that the caller has, or -1 to run from the start
   * @return null if nothing was sent, as there is no room
   */
  Running start(Route route, BatchItem batchItem, long lastEventId, RunListener listener);

  /** A run under way. */
  interface Running {
    /** Closes the connection, so the server drops it; nothing more is reported. */
    void cancel();
  }

  /** What becomes of a run, in order; {@code ended} once. */
  interface RunListener {
    /** One event of the answer, with its number and its data, in order. */
    void event(long id, byte[] data);

    /** The run is over; nothing is called after it. */
    void ended(Ended how);
  }

  /** How a run ended. */
  enum Ended {
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
