package elmsail.rpc;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * The frames that were written to one connection and that its socket has not accepted yet. It
 * bounds them, flushes once for each turn of the loop, and tells whether a slow reader still makes
 * progress. Used on the connection's loop only.
 */
final class OutboundQueue {

  static final long MAX_QUEUED_BYTES = 8 << 20;

  private final RpcCounters counters;

  /** Called when a write fails. */
  private final Runnable onWriteFailure;

  private Channel channel;
  private boolean flushScheduled;

  /** Bytes of frames that the socket has not accepted completely. */
  private long queuedBytes;

  /** Bytes of all frames written so far. */
  private long acceptedBytes;

  /** Bytes that the socket had accepted at the last {@link #hasProgressed}. */
  private long writtenBytes;

  /** Whether bytes were left in the queue at the last {@link #hasProgressed}. */
  private boolean hadBacklog;

  OutboundQueue(RpcCounters counters, Runnable failed) {
    this.counters = counters;
    this.onWriteFailure = failed;
  }

  /** Sets the channel to write to; called once, before anything else. */
  void channel(Channel opened) {
    channel = opened;
  }

  /** Whether the socket has accepted everything. */
  boolean isEmpty() {
    return queuedBytes == 0;
  }

  /** Whether a frame of that size may be added; any size may be while the queue is empty. */
  boolean hasCapacityFor(int bytes) {
    return queuedBytes == 0 || queuedBytes + bytes <= MAX_QUEUED_BYTES;
  }

  /** Whether even the small frames that are never refused have piled up. */
  boolean isOverflowing() {
    return queuedBytes > 2 * MAX_QUEUED_BYTES + Frame.MAX_BYTES;
  }

  /** Takes ownership of the frame; flushed together with all others of this turn of the loop. */
  void write(ByteBuf frame) {
    int bytes = frame.readableBytes();
    queuedBytes += bytes;
    acceptedBytes += bytes;
    counters.bytesSent += bytes;
    channel
        .write(frame)
        .addListener(
            (ChannelFuture f) -> {
              queuedBytes -= bytes;
              if (!f.isSuccess()) {
                onWriteFailure.run();
              }
            });
    if (!flushScheduled) {
      flushScheduled = true;
      channel.eventLoop().execute(this::flush);
    }
  }

  private void flush() {
    flushScheduled = false;
    channel.flush();
  }

  /**
   * Whether the socket has accepted bytes since the last call although it was full then, which
   * means that the peer's machine has acknowledged some.
   */
  boolean hasProgressed() {
    ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
    long part = out == null ? 0 : Math.max(0, out.currentProgress());
    long nowWritten = acceptedBytes - queuedBytes + part;
    boolean moved = hadBacklog && nowWritten > writtenBytes;
    writtenBytes = nowWritten;
    hadBacklog = queuedBytes - part > 0;
    return moved;
  }
}
