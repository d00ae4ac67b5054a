package elmsail.rpc;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;

/** The frames written to one connection that its socket has not accepted yet. Owns the frames. */
final class OutboundQueue {

  static final long MAX_QUEUED_BYTES = 8 << 20;

  private final RpcCounters counters;

  /** Run when a write fails. */
  private final Runnable onWriteFailure;

  private Channel channel;
  private boolean flushScheduled;

  /** The bytes of frames that the socket has not accepted completely. */
  private long queuedBytes;

  private long acceptedBytes;
  private long writtenBytes;
  private boolean hadBacklog;

  OutboundQueue(RpcCounters counters, Runnable failed) {
    this.counters = counters;
    this.onWriteFailure = failed;
  }

  /** Sets the channel; called before anything else. */
  void channel(Channel openedChannel) {
    channel = openedChannel;
  }

  boolean isEmpty() {
    return queuedBytes == 0;
  }

  /** Whether a frame of that size may be added; an empty queue accepts any frame. */
  boolean hasCapacityFor(int bytes) {
    return queuedBytes == 0 || queuedBytes + bytes <= MAX_QUEUED_BYTES;
  }

  /** Whether even frames that are exempt from the limit have piled up. */
  boolean isOverflowing() {
    return queuedBytes > 2 * MAX_QUEUED_BYTES + Frame.MAX_BYTES;
  }

  /** Writes a frame; flushed together with all others of this iteration of the event loop. */
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
   * Whether the socket accepted bytes since the last call although it was full then: the peer's
   * host acknowledged these.
   */
  boolean hasProgressed() {
    ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
    long part = out == null ? 0 : Math.max(0, out.currentProgress());
    long gone = acceptedBytes - queuedBytes + part;
    boolean moved = hadBacklog && gone > writtenBytes;
    writtenBytes = gone;
    hadBacklog = queuedBytes - part > 0;
    return moved;
  }
}
