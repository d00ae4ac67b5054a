package elmsail.config.watch;

import elmsail.rpc.messages.PullResponse;

/**
 * The latest time at which the configuration of this process is known to have been the newest
 * committed one.
 *
 * <p>A control-plane node states in each response the age A of its last completed read of the
 * configuration register: the time from when the read was sent to a majority until the response was
 * built. If this process sends a request at time P, the response is built at P or later. The read
 * was therefore sent at P - A or later, regardless of the delays in between. The read returns any
 * configuration that was committed before the read was sent, and the response names a version at
 * least as new. So if this process has a version at least as new as the named one, no newer version
 * was committed, or acknowledged to an operator, before P - A.
 *
 * <p>P and A are each measured on one machine's steady clock, which keeps running while a process
 * is suspended; clocks of different machines are never compared. A suspension can only make the
 * confirmed time earlier than necessary, never too late. If this process is suspended after it has
 * read P and before it sends the request, P is earlier than the request. If the node is suspended
 * before it builds the response, A is larger. Any later suspension of the node or of this process
 * changes neither P nor A.
 *
 * <p>A response confirms nothing if this process could not decode the version that the response
 * names, or if the node does not state the age. The latest confirmed time is kept, so responses may
 * arrive in any order. Owned by the event loop.
 */
final class ConfigConfirmation {
  private boolean isKnown;
  private long confirmedAtMs;

  /**
   * Records what a response confirms. To be called after the response's configuration has been
   * applied.
   *
   * @param knownVersion the version that this process has now; 0 if none
   * @param requestedAtMs when the request was sent, in ms of the steady clock
   */
  void onResponse(PullResponse response, long knownVersion, long requestedAtMs) {
    if (response.configConfirmedAgeMs < 0
        || knownVersion == 0
        || knownVersion < response.configVersion) {
      return;
    }
    long responseConfirmedAtMs = requestedAtMs - response.configConfirmedAgeMs;
    confirmedAtMs =
        isKnown ? Math.max(confirmedAtMs, responseConfirmedAtMs) : responseConfirmedAtMs;
    isKnown = true;
  }

  /** Time since the latest confirmed time in ms; Long.MAX_VALUE before the first. */
  long ageMs(long nowMs) {
    return isKnown ? nowMs - confirmedAtMs : Long.MAX_VALUE;
  }
}
