package elmsail.config.watch;

import elmsail.rpc.messages.PullResponse;
import elmsail.runtime.Timers;
import java.util.ArrayList;
import java.util.List;

/**
 * The state of the watch at one control-plane node: when the next request is due, and the version
 * of the node's view. Owned by the event loop; all times are ms of the steady clock.
 */
final class WatchStream {
  private static final long MIN_REQUEST_INTERVAL_MS = 20;
  private static final long INITIAL_BACKOFF_MS = 100;
  private static final long MAX_BACKOFF_MS = 500;

  final String address;
  final long openedAtMs;

  /**
   * The version of the node's view that was last received; 0 requests the view. Versions of other
   * nodes, or of other incarnations of this node, are not comparable.
   */
  long viewVersion;

  /** The gateways that the node last reported. */
  List<String> gateways = new ArrayList<>();

  /** When the node last responded; -1 before the first response. */
  long lastResponseAtMs = -1;

  /**
   * Whether the node states the age of its configuration; true before the first response, when this
   * is not known.
   */
  boolean confirmsConfig = true;

  boolean open = true;

  /** The timer of the next request; null while the first one is in flight. */
  Timers.Timer nextRequest;

  private long requestedAtMs;
  private long backoffMs = INITIAL_BACKOFF_MS;

  WatchStream(String address, long nowMs) {
    this.address = address;
    this.openedAtMs = nowMs;
  }

  /** Records that a request is sent. */
  void onRequest(long nowMs) {
    requestedAtMs = nowMs;
  }

  /** Resets the backoff; returns the delay of the next request after an accepted response. */
  long delayAfterResponseMs(long nowMs) {
    backoffMs = INITIAL_BACKOFF_MS;
    return Math.max(0, requestedAtMs + MIN_REQUEST_INTERVAL_MS - nowMs);
  }

  /** Doubles the backoff; returns the delay of the next request after a failure. */
  long delayAfterFailureMs() {
    long delayMs = backoffMs;
    backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    return delayMs;
  }

  /**
   * Records a response. If the node's view changed and the response does not contain it, the next
   * request fetches the view.
   */
  void onResponse(PullResponse response, long nowMs) {
    lastResponseAtMs = nowMs;
    confirmsConfig = response.configConfirmedAgeMs >= 0;
    if (response.view != null) {
      viewVersion = response.viewVersion;
      gateways = response.view.gateways;
    } else if (response.viewVersion != viewVersion) {
      viewVersion = 0;
    }
  }

  /** When the node last responded; if it has not, when the stream was opened. */
  long lastActivityAtMs() {
    return lastResponseAtMs < 0 ? openedAtMs : lastResponseAtMs;
  }

  /** Cancels the next request; a response still in flight is ignored by the owner. */
  void close() {
    open = false;
    if (nextRequest != null) {
      nextRequest.cancel();
    }
  }
}
