package elmsail.rpc;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;

/** The frames that were written to one connection and that its socket has not taken yet. */
final class OutboundQueue {

  static final long MAX_QUEUED_BYTES = 8 << 20;

  private final RpcCounters counters;

  /** Run when a write fails. */
  private final Runnable onWriteFailure;

  private Channel channel;
  private boolean flushScheduled;

  /** Bytes of frames that the socket has not taken whole. */
  private long queuedBytes;

  private long acceptedBytes;
  private long writtenBytes;
  private boolean hadBacklog;

  OutboundQueue(RpcCounters counters, Runnable failed) {
    this.counters = counters;
    this.onWriteFailure = failed;
  }

  /** Set before anything else is called. */
  void channel(Channel opened) {
    channel = opened;
  }

  boolean isEmpty() {
    return queuedBytes == 0;
  }

  /** Whether a frame of so many bytes may be added; any one may where nothing waits. */
  boolean hasCapacityFor(int bytes) {
    return queuedBytes == 0 || queuedBytes + bytes <= MAX_QUEUED_BYTES;
  }

  /** Whether even frames that are never refused have piled up. */
  boolean isOverflowing() {
    return queuedBytes > 2 * MAX_QUEUED_BYTES + Frame.MAX_BYTES;
  }

  /** Writes the frame, which is flushed with all others of this turn of the loop. */
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
   * Whether the socket has taken bytes since the last look although it was full then: these were
   * acknowledged by the peer's machine.
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
