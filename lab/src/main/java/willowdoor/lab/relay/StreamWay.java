package willowdoor.lab.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * One way of one connection: bytes are kept until they are due, in their order, and no more is read
 * from the sender than is taken here. While the way is cut nothing is read at all, so neither bytes
 * nor ends come through.
 */
final class StreamWay {

  private static final int MOST_KEPT = 256 * 1024;

  private enum End {
    NONE,
    FINISHED,
    RESET
  }

  /** Bytes, or an end behind them. */
  private record Piece(long dueNs, ByteBuf data, End end) {}

  private final Pipe pipe;
  private final Channel from;
  private final Runnable breakOff;
  private final Runnable whenFinished;
  private final ArrayDeque<Piece> kept = new ArrayDeque<>();

  /** The other side; null until it is connected. */
  private Channel to;

  private int keptBytes;
  private long lastDueNs = Long.MIN_VALUE;
  private long passed;
  private Future<?> timer;
  private ChannelFuture written;
  private boolean finished;

  /**
   * Tells when the connection is to be broken off, and when the sender's end has been passed on.
   */
  StreamWay(Pipe pipe, Channel from, Runnable breakOff, Runnable whenFinished) {
    this.pipe = pipe;
    this.from = from;
    this.breakOff = breakOff;
    this.whenFinished = whenFinished;
  }

  void to(Channel connected) {
    to = connected;
    goOn();
  }

  /** Whether the end of what the sender sends has been passed on. */
  boolean finished() {
    return finished;
  }

  void read(ByteBuf data) {
    pipe.streamBytes += data.readableBytes();
    keptBytes += data.readableBytes();
    add(data, data.readableBytes(), End.NONE);
  }

  void finish() {
    add(null, 0, End.FINISHED);
  }

  void reset() {
    add(null, 0, End.RESET);
  }

  private void add(ByteBuf data, int bytes, End end) {
    long now = System.nanoTime();
    lastDueNs = Math.max(lastDueNs, pipe.due(now, bytes));
    kept.add(new Piece(lastDueNs, data, end));
    goOn();
  }

  /** Passes on what is due, as far as the other side takes it. */
  void goOn() {
    boolean open = !pipe.faults.cut();
    long now = System.nanoTime();
    while (open && to != null && !kept.isEmpty() && kept.peek().dueNs() <= now && to.isWritable()) {
      pass(kept.poll());
    }
    from.config().setAutoRead(open && keptBytes < MOST_KEPT);
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
    if (open && to != null && !kept.isEmpty() && to.isWritable()) {
      timer =
          from.eventLoop()
              .schedule(this::goOn, Math.max(0, kept.peek().dueNs() - now), TimeUnit.NANOSECONDS);
    }
  }

  private void pass(Piece piece) {
    switch (piece.end()) {
      case RESET -> breakOff.run();
      case FINISHED -> {
        if (written == null) {
          passEnd();
        } else {
          written.addListener(done -> passEnd());
        }
      }
      default -> {
        int bytes = piece.data().readableBytes();
        keptBytes -= bytes;
        long left =
            pipe.faults.breakAfterBytes() < 0 ? bytes : pipe.faults.breakAfterBytes() - passed;
        passed += bytes;
        if (left >= bytes) {
          written = to.writeAndFlush(piece.data());
        } else {
          piece.data().writerIndex(piece.data().readerIndex() + (int) Math.max(0, left));
          to.writeAndFlush(piece.data()).addListener(done -> breakOff.run());
        }
      }
    }
  }

  /** Not before all bytes are written: what waits to be written when a side is shut is lost. */
  private void passEnd() {
    ((SocketChannel) to)
        .shutdownOutput()
        .addListener(
            done -> {
              finished = true;
              whenFinished.run();
            });
  }

  void release() {
    if (timer != null) {
      timer.cancel(false);
    }
    kept.forEach(
        p -> {
          if (p.data() != null) {
            p.data().release();
          }
        });
    kept.clear();
    keptBytes = 0;
  }
}
