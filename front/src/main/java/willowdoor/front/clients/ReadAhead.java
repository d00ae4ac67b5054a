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
 * Reads a client's connection, also while nobody asks for more: only what is read to its end shows
 * that the client has left. What comes behind a request is kept for its turn, as much as the next
 * request may have. Of more than that the rest is dropped, as clients send one request at a time:
 * the connection ends once what is kept is answered. A body that nobody takes is left unread.
 *
 * <p>Owns the bytes that it keeps, until they are asked for or the connection ends.
 */
final class ReadAhead extends ChannelDuplexHandler {

  /** The longest body of the protocol, and the longest head that is read. */
  static final int MOST_AHEAD = 64 * 1024 + 24 * 1024;

  private static final int LAST_READ = 16 * 1024;

  private final PollTimes looks;
  private final Arrival arrival;

  /** Whether the rest of a body comes next, which waits in the socket until it is asked for. */
  private final BooleanSupplier insideBody;

  private final IntConsumer counts;
  private ChannelHandlerContext context;

  /** Whether the connection is asked for more, and whether this is. */
  private boolean asked;

  private boolean wanted;
  private boolean passing;
  private ByteBuf ahead = Unpooled.EMPTY_BUFFER;
  private boolean overflowed;
  private boolean dropping;
  private long lastLook = -1;

  /** Bytes that are kept, and those no longer kept, are told to the last one. */
  ReadAhead(PollTimes looks, Arrival arrival, BooleanSupplier insideBody, IntConsumer counts) {
    this.looks = looks;
    this.arrival = arrival;
    this.insideBody = insideBody;
    this.counts = counts;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  /** Whether bytes have come that nobody has asked for yet. */
  boolean holds() {
    return ahead.isReadable();
  }

  /** Whether bytes were dropped, so that nothing can be read behind those that are kept. */
  boolean overflowed() {
    return overflowed;
  }

  /** Goes on reading as nothing more of a body is to come. */
  void watch() {
    ask();
  }

  /** From here on whatever comes is read and dropped. */
  void drop() {
    dropping = true;
    release();
    ask();
  }

  private void ask() {
    if (!asked) {
      asked = true;
      arrival.asked();
      context.read();
    }
  }

  @Override
  public void read(ChannelHandlerContext ctx) {
    wanted = true;
    if (!passing) {
      passAhead();
    }
  }

  /** In a loop, as what is passed on may make its taker ask for more at once. */
  private void passAhead() {
    passing = true;
    while (wanted && ahead.isReadable()) {
      ByteBuf bytes = ahead;
      counts.accept(-bytes.readableBytes());
      ahead = Unpooled.EMPTY_BUFFER;
      wanted = false;
      context.fireChannelRead(bytes);
      context.fireChannelReadComplete();
    }
    passing = false;
    if (wanted) {
      ask();
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
        ctx.channel() instanceof EpollSocketChannel && (!asked || lastLook == looks.count());
    lastLook = looks.count();
    asked = false;
    if (dropping) {
      bytes.release();
    } else if (ended) {
      bytes.release();
      ctx.close();
    } else {
      arrival.read(bytes.isWritable());
      take(bytes);
    }
  }

  private void take(ByteBuf bytes) {
    if (overflowed) {
      bytes.release();
    } else if (wanted && !ahead.isReadable()) {
      wanted = false;
      context.fireChannelRead(bytes);
    } else {
      keep(bytes);
    }
  }

  /** Copied, as small pieces would keep the larger buffers that they were read into. */
  private void keep(ByteBuf bytes) {
    int room = MOST_AHEAD - ahead.readableBytes();
    int kept = Math.min(room, bytes.readableBytes());
    overflowed |= kept < bytes.readableBytes();
    if (kept > 0 && !ahead.isReadable()) {
      ahead = context.alloc().buffer(kept);
    }
    if (kept > 0) {
      ahead.writeBytes(bytes, kept);
      counts.accept(kept);
    }
    bytes.release();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    ctx.fireChannelReadComplete();
    if (dropping || wanted || !insideBody.getAsBoolean()) {
      ask();
    }
  }

  /**
   * Reads once more what came since the loop last looked; true when that was anything, or the end.
   * Tells nothing where the transport has no way to.
   */
  boolean lastRead() {
    if (holds()) {
      return true;
    }
    if (!(context.channel() instanceof EpollSocketChannel channel) || !channel.isOpen()) {
      return false;
    }
    ByteBuf bytes = context.alloc().directBuffer(LAST_READ);
    int read;
    try {
      read = ((Socket) channel.fd()).recv(bytes.nioBuffer(0, LAST_READ), 0, LAST_READ);
    } catch (IOException e) {
      // Reset: the loop finds that, too.
      read = -1;
    }
    if (read <= 0) {
      bytes.release();
      return read < 0;
    }
    bytes.writerIndex(read);
    arrival.read(bytes.isWritable());
    arrival.asked();
    take(bytes);
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
    counts.accept(-ahead.readableBytes());
    ahead.release();
    ahead = Unpooled.EMPTY_BUFFER;
  }
}
