package willowdoor.front.clients;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.unix.Socket;
import java.io.IOException;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;
import willowdoor.front.loop.Looks;

/**
 * Reads a client's connection, also while nobody asks for more: only what is read to its end shows
 * that the client has left. What comes behind a request is kept for its turn, as much as the next
 * request may have. Of more than that the rest is dropped, as clients send one request at a time:
 * the connection ends once what is kept is answered. A body that nobody takes is left unread.
 *
 * <p>Owns the bytes that it keeps, until they are asked for or the connection ends.
 */
final class ReadAhead extends ChannelDuplexHandler {

  /** The longest body of the protocol, and the longest head that is read. */
  static final int MAX_BUFFERED_BYTES = 64 * 1024 + 24 * 1024;

  private static final int DIRECT_READ_BYTES = 16 * 1024;

  private final Looks polls;
  private final ArrivalTime arrivalTime;

  /** Whether the rest of a body comes next, which waits in the socket until it is asked for. */
  private final BooleanSupplier insideBody;

  private final IntConsumer onBufferedChange;
  private ChannelHandlerContext context;

  /** Whether the connection is asked for more, and whether this is. */
  private boolean readRequested;

  private boolean downstreamWaiting;
  private boolean forwarding;
  private ByteBuf buffered = Unpooled.EMPTY_BUFFER;
  private boolean overflowed;
  private boolean discarding;
  private long lastPoll = -1;

  /** Bytes that are kept, and those no longer kept, are told to the last one. */
  ReadAhead(
      Looks polls,
      ArrivalTime arrivalTime,
      BooleanSupplier insideBody,
      IntConsumer onBufferedChange) {
    this.polls = polls;
    this.arrivalTime = arrivalTime;
    this.insideBody = insideBody;
    this.onBufferedChange = onBufferedChange;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  /** Whether bytes have come that nobody has asked for yet. */
  boolean hasBuffered() {
    return buffered.isReadable();
  }

  /** Whether bytes were dropped, so that nothing can be read behind those that are kept. */
  boolean overflowed() {
    return overflowed;
  }

  /** Goes on reading as nothing more of a body is to come. */
  void watchForClose() {
    requestRead();
  }

  /** From here on whatever comes is read and dropped. */
  void discard() {
    discarding = true;
    release();
    requestRead();
  }

  private void requestRead() {
    if (!readRequested) {
      readRequested = true;
      arrivalTime.asked();
      context.read();
    }
  }

  @Override
  public void read(ChannelHandlerContext ctx) {
    downstreamWaiting = true;
    if (!forwarding) {
      forwardBuffered();
    }
  }

  /** In a loop, as what is passed on may make its taker ask for more at once. */
  private void forwardBuffered() {
    forwarding = true;
    while (downstreamWaiting && buffered.isReadable()) {
      ByteBuf bytes = buffered;
      onBufferedChange.accept(-bytes.readableBytes());
      buffered = Unpooled.EMPTY_BUFFER;
      downstreamWaiting = false;
      context.fireChannelRead(bytes);
      context.fireChannelReadComplete();
    }
    forwarding = false;
    if (downstreamWaiting) {
      requestRead();
    }
  }

  /**
   * A read that was not asked for, or a second one of the same look, comes from epoll alone: the
   * client has ended its sending, or reset the connection. It has gone, and what is left is not
   * read to find that out.
   */
  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    boolean ended =
        ctx.channel() instanceof EpollSocketChannel
            && (!readRequested || lastPoll == polls.count());
    lastPoll = polls.count();
    readRequested = false;
    if (discarding) {
      bytes.release();
    } else if (ended) {
      bytes.release();
      ctx.close();
    } else {
      arrivalTime.onRead(bytes.isWritable());
      forwardOrBuffer(bytes);
    }
  }

  private void forwardOrBuffer(ByteBuf bytes) {
    if (overflowed) {
      bytes.release();
    } else if (downstreamWaiting && !buffered.isReadable()) {
      downstreamWaiting = false;
      context.fireChannelRead(bytes);
    } else {
      buffer(bytes);
    }
  }

  /** Copied, as small pieces would keep the larger buffers that they were read into. */
  private void buffer(ByteBuf bytes) {
    int room = MAX_BUFFERED_BYTES - buffered.readableBytes();
    int accepted = Math.min(room, bytes.readableBytes());
    overflowed |= accepted < bytes.readableBytes();
    if (accepted > 0 && !buffered.isReadable()) {
      buffered = context.alloc().buffer(accepted);
    }
    if (accepted > 0) {
      buffered.writeBytes(bytes, accepted);
      onBufferedChange.accept(accepted);
    }
    bytes.release();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    ctx.fireChannelReadComplete();
    if (discarding || downstreamWaiting || !insideBody.getAsBoolean()) {
      requestRead();
    }
  }

  /**
   * Reads once more what came since the loop last looked; true when that was anything, or the end.
   * Tells nothing where the transport has no way to.
   */
  boolean readDirectly() {
    if (hasBuffered()) {
      return true;
    }
    if (!(context.channel() instanceof EpollSocketChannel channel) || !channel.isOpen()) {
      return false;
    }
    ByteBuf bytes = context.alloc().directBuffer(DIRECT_READ_BYTES);
    int read;
    try {
      read =
          ((Socket) channel.fd()).recv(bytes.nioBuffer(0, DIRECT_READ_BYTES), 0, DIRECT_READ_BYTES);
    } catch (IOException e) {
      // Reset: the loop finds that, too.
      read = -1;
    }
    if (read <= 0) {
      bytes.release();
      return read < 0;
    }
    bytes.writerIndex(read);
    arrivalTime.onRead(bytes.isWritable());
    arrivalTime.asked();
    forwardOrBuffer(bytes);
    context.fireChannelReadComplete();
    return true;
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    release();
    ctx.fireChannelInactive();
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext ctx) {
    release();
  }

  private void release() {
    onBufferedChange.accept(-buffered.readableBytes());
    buffered.release();
    buffered = Unpooled.EMPTY_BUFFER;
  }
}
