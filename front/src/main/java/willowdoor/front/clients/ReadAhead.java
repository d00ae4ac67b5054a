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
import willowdoor.front.loop.PollTimes;

/**
 * Reads a client's connection even while the pipeline requests no input, because the client's close
 * is seen only once everything before it is read. Bytes of later requests are kept until they are
 * requested, up to the size of one request. Bytes beyond that are dropped, because clients send one
 * request at a time; the connection ends once the kept requests are answered. A body that is not
 * requested is left unread in the socket.
 *
 * <p>Owns the kept bytes until they are requested or the connection ends.
 */
final class ReadAhead extends ChannelDuplexHandler {

  /** The longest body of the protocol and the longest head that is read, together. */
  static final int MAX_BUFFERED_BYTES = 64 * 1024 + 24 * 1024;

  private static final int DIRECT_READ_BYTES = 16 * 1024;

  private final PollTimes polls;
  private final ArrivalTime arrivalTime;

  /**
   * Whether the next bytes are the rest of a body, which stays in the socket until it is requested.
   */
  private final BooleanSupplier insideBody;

  private final IntConsumer onBufferedChange;
  private ChannelHandlerContext context;

  /** Whether a read of the socket is outstanding. */
  private boolean readRequested;

  /** Whether the next handler has requested input that it has not received. */
  private boolean downstreamWaiting;

  private boolean forwarding;
  private ByteBuf buffered = Unpooled.EMPTY_BUFFER;
  private boolean overflowed;
  private boolean discarding;
  private long lastPoll = -1;

  /**
   * {@code onBufferedChange} gets the number of bytes that are newly kept, or its negative for
   * those no longer kept.
   */
  ReadAhead(
      PollTimes polls,
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

  /** Whether bytes are kept that have not been requested yet. */
  boolean hasBuffered() {
    return buffered.isReadable();
  }

  /** Whether bytes were dropped, so that nothing after the kept bytes can be read. */
  boolean overflowed() {
    return overflowed;
  }

  /** Resumes reading, because the body has ended. */
  void watchForClose() {
    requestRead();
  }

  /** Reads and drops all further input. */
  void discard() {
    discarding = true;
    release();
    requestRead();
  }

  private void requestRead() {
    if (!readRequested) {
      readRequested = true;
      arrivalTime.onReadRequested();
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

  /** A loop, because the next handler may request more from within its read. */
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
   * Only epoll delivers a read that was not requested, or a second read in one poll. Such a read
   * means that the client has shut down its sending side or reset the connection. The client has
   * left, so the connection is closed without reading the remaining bytes.
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

  /**
   * Copies the bytes, because small pieces that are retained would keep alive the larger buffers
   * that they were read into.
   */
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
   * Reads bytes that have arrived since the loop's last poll directly from the socket. Returns true
   * if bytes are kept or have arrived, or if the connection has ended. Returns false if the
   * transport does not support such a read.
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
      // The connection was reset; the loop detects that too.
      read = -1;
    }
    if (read <= 0) {
      bytes.release();
      return read < 0;
    }
    bytes.writerIndex(read);
    arrivalTime.onRead(bytes.isWritable());
    arrivalTime.onReadRequested();
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
