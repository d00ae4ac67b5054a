package elmsail.rpc;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;

/** The frames that were written to one connection and that its socket has not taken yet. */
final class OutboundQueue {

  static final long MOST_QUEUED_BYTES = 8 << 20;

  private final RpcCounters counts;

  /** Run when a write fails. */
  private final Runnable failed;

  private Channel channel;
  private boolean flushing;

  /** Bytes of frames that the socket has not taken whole. */
  private long queued;

  private long accepted;
  private long taken;
  private boolean backlog;

  OutboundQueue(RpcCounters counts, Runnable failed) {
    this.counts = counts;
    this.failed = failed;
  }

  /** Set before anything else is called. */
  void channel(Channel opened) {
    channel = opened;
  }

  boolean isEmpty() {
    return queued == 0;
  }

  /** Whether a frame of so many bytes may be added; any one may where nothing waits. */
  boolean fits(int bytes) {
    return queued == 0 || queued + bytes <= MOST_QUEUED_BYTES;
  }

  /** Whether even frames that are never refused have piled up. */
  boolean overflows() {
    return queued > 2 * MOST_QUEUED_BYTES + Frame.MOST_BYTES;
  }

  /** Writes the frame, which is flushed with all others of this turn of the loop. */
  void write(ByteBuf frame) {
    int bytes = frame.readableBytes();
    queued += bytes;
    accepted += bytes;
    counts.bytesOut += bytes;
    channel
        .write(frame)
        .addListener(
            (ChannelFuture f) -> {
              queued -= bytes;
              if (!f.isSuccess()) {
                failed.run();
              }
            });
    if (!flushing) {
      flushing = true;
      channel.eventLoop().execute(this::flush);
    }
  }

  private void flush() {
    flushing = false;
    channel.flush();
  }

  /**
   * Whether the socket has taken bytes since the last look although it was full then: these were
   * acknowledged by the peer's machine.
   */
  boolean progressed() {
    ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
    long part = out == null ? 0 : Math.max(0, out.currentProgress());
    long gone = accepted - queued + part;
    boolean moved = backlog && gone > taken;
    taken = gone;
    backlog = queued - part > 0;
    return moved;
  }
}
