package elmsail.gateway.servers;

import elmsail.runtime.Timers;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * Follows how a connection writes the present request. A server may respond before it has read the
 * whole body; the connection is used again only once the rest is written, and closed if the server
 * stops reading. Owned by the channel's event loop.
 */
final class BodyWriteMonitor {
  /** A server that responded early must read some of the rest within this time. */
  private static final long STALL_TIMEOUT_MS = 2_000;

  private final Timers timers;
  private final Channel channel;

  /** Runs once the request is written after {@link #closeIfStalled}. */
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

  /** Closes the channel unless the rest of the body goes on being written. */
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

  /** Stops following; the connection is closed by its owner. */
  void cancel() {
    if (stallTimer != null) {
      stallTimer.cancel();
      stallTimer = null;
    }
  }
}
