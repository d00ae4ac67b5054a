package elmsail.gateway.servers;

import elmsail.runtime.Timers;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * Monitors the writing of the current request on a connection. A server may respond before it has
 * read the whole body. The connection is then reused only after the rest of the body is written,
 * and it is closed if the server stops reading. Owned by the channel's event loop.
 */
final class BodyWriteMonitor {
  /**
   * A server that responded early must read some of the remaining body within each interval of this
   * length.
   */
  private static final long STALL_TIMEOUT_MS = 2_000;

  private final Timers timers;
  private final Channel channel;

  /** Runs when the request is completely written after a call of {@link #closeIfStalled}. */
  private final Runnable afterWrite;

  private boolean written;

  /** Set while the rest of an answered request's body is being written. */
  private Timers.Timer stallTimer;

  BodyWriteMonitor(Timers timers, Channel channel, Runnable afterWrite) {
    this.timers = timers;
    this.channel = channel;
    this.afterWrite = afterWrite;
  }

  /** A new request is about to be written. */
  void start() {
    written = false;
  }

  /** Whether all of the request is written. */
  boolean isWritten() {
    return written;
  }

  /** The request is written. */
  void onWritten() {
    written = true;
    if (stallTimer != null) {
      cancel();
      afterWrite.run();
    }
  }

  /** Closes the channel as soon as writing the rest of the body stalls. */
  void closeIfStalled() {
    long unwrittenBytes = unwrittenBytes();
    stallTimer = timers.schedule(STALL_TIMEOUT_MS, () -> checkProgress(unwrittenBytes));
  }

  private void checkProgress(long unwrittenBytesBefore) {
    if (unwrittenBytes() < unwrittenBytesBefore) {
      closeIfStalled();
    } else {
      channel.close();
    }
  }

  private long unwrittenBytes() {
    ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
    return out == null ? 0 : out.totalPendingWriteBytes() - Math.max(0, out.currentProgress());
  }

  /** Stops monitoring; closing the connection is left to the caller. */
  void cancel() {
    if (stallTimer != null) {
      stallTimer.cancel();
      stallTimer = null;
    }
  }
}
