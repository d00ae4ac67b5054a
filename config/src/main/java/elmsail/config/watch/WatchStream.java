package elmsail.config.watch;

import elmsail.rpc.messages.PullResponse;
import elmsail.runtime.Timers;
import java.util.ArrayList;
import java.util.List;

/**
 * The pull held open at one control-plane node: its pace, and that control-plane node's own
 * versions. Times in ms.
 */
final class WatchStream {
  private static final long MIN_REQUEST_INTERVAL_MS = 20;
  private static final long INITIAL_BACKOFF_MS = 100;
  private static final long MAX_BACKOFF_MS = 500;

  final String address;
  final long openedAtMs;

  /**
   * Of this control-plane node's views; those of different control-plane nodes, or of its
   * instances, are not comparable.
   */
  long viewVersion;

  List<String> gateways = new ArrayList<>();
  long lastResponseAtMs = -1;
  boolean open = true;
  Timers.Timer nextRequest;
  private long requestedAtMs;
  private long backoffMs = INITIAL_BACKOFF_MS;

  WatchStream(String address, long nowMs) {
    this.address = address;
    this.openedAtMs = nowMs;
  }

  void onRequest(long nowMs) {
    requestedAtMs = nowMs;
  }

  /** How long the next ask waits after an answer. */
  long delayAfterResponseMs(long nowMs) {
    backoffMs = INITIAL_BACKOFF_MS;
    return Math.max(0, requestedAtMs + MIN_REQUEST_INTERVAL_MS - nowMs);
  }

  /** How long the next ask waits after a failure, or an answer that could not be read. */
  long delayAfterFailureMs() {
    long delayMs = backoffMs;
    backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    return delayMs;
  }

  /**
   * Takes this control-plane node's version: if it has gone on without a view, the next ask fetches
   * the view.
   */
  void onResponse(PullResponse response, long nowMs) {
    lastResponseAtMs = nowMs;
    if (response.view != null) {
      viewVersion = response.viewVersion;
      gateways = response.view.gateways;
    } else if (response.viewVersion != viewVersion) {
      viewVersion = 0;
    }
  }

  /** When it last said something, or was begun to be asked. */
  long lastActivityAtMs() {
    return lastResponseAtMs < 0 ? openedAtMs : lastResponseAtMs;
  }

  void close() {
    open = false;
    if (nextRequest != null) {
      nextRequest.cancel();
    }
  }
}
