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
  private static final long APART_MS = 20;
  private static final long FIRST_PAUSE_MS = 100;
  private static final long LONGEST_PAUSE_MS = 500;

  final String address;
  final long openedAt;

  /**
   * Of this control-plane node's views; those of different control-plane nodes, or of its
   * instances, are not comparable.
   */
  long viewVersion;

  List<String> gateways = new ArrayList<>();
  long heardAt = -1;
  boolean open = true;
  Timers.Timer next;
  private long askedAt;
  private long pauseMs = FIRST_PAUSE_MS;

  WatchStream(String address, long now) {
    this.address = address;
    this.openedAt = now;
  }

  void asked(long now) {
    askedAt = now;
  }

  /** How long the next ask waits after an answer. */
  long afterAnswer(long now) {
    pauseMs = FIRST_PAUSE_MS;
    return Math.max(0, askedAt + APART_MS - now);
  }

  /** How long the next ask waits after a failure, or an answer that could not be read. */
  long afterFailure() {
    long pause = pauseMs;
    pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
    return pause;
  }

  /**
   * Takes this control-plane node's version: if it has gone on without a view, the next ask fetches
   * the view.
   */
  void heard(PullResponse response, long now) {
    heardAt = now;
    if (response.view != null) {
      viewVersion = response.viewVersion;
      gateways = response.view.gateways;
    } else if (response.viewVersion != viewVersion) {
      viewVersion = 0;
    }
  }

  /** When it last said something, or was begun to be asked. */
  long lastSign() {
    return heardAt < 0 ? openedAt : heardAt;
  }

  void close() {
    open = false;
    if (next != null) {
      next.cancel();
    }
  }
}
