package elmsail.config.watch;

import elmsail.rpc.messages.PullResponse;

/**
 * Until when the configuration of this process is known to have been the newest committed one.
 *
 * <p>A control-plane node says with each response how old its last completed read of the register
 * is: the time from when that read was sent to a majority until the response was built. A request
 * that this process sent at P is received, and so answered, at P or later. With an age of A the
 * read was therefore sent at P - A or later, whatever the delays in between. A configuration that
 * was committed before a read was sent is seen by it, and the node names a version at least as new
 * in the same response. So if this process has a version at least as new as the named one, nothing
 * newer was committed, and nothing newer was acknowledged to an operator, before P - A.
 *
 * <p>Both times are durations of one machine's steady clock, which goes on while a process is
 * suspended; no two machines compare their clocks. A suspension only makes the result more
 * cautious: of this process, as P was read before the request was sent; of the node before it
 * builds the response, as its age grows; of the node or this process after that, as P and A are
 * fixed by then.
 *
 * <p>A response that names a version that this process could not decode confirms nothing, nor does
 * one of a node that does not state the age. The latest confirmation is kept, so that responses may
 * come in any order. Owned by the event loop.
 */
final class ConfigConfirmation {
  private boolean isKnown;
  private long confirmedAtMs;

  /**
   * Takes over what a response confirms, once its configuration has been applied.
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

  /** Time since the latest confirmed moment in ms; Long.MAX_VALUE before the first. */
  long ageMs(long nowMs) {
    return isKnown ? nowMs - confirmedAtMs : Long.MAX_VALUE;
  }
}
