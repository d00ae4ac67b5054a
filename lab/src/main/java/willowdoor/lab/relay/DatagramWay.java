package willowdoor.lab.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * What one party sends another in datagrams. It comes in at the face that the other has for its
 * sender, and goes out of the face that the sender has for the other, so that this one always sees
 * it come from the same address. Bounded in what is on the way; what would wait behind a limit for
 * more than a second is lost, as in a full queue.
 */
final class DatagramWay extends SimpleChannelInboundHandler<DatagramPacket> {

  private static final int MOST_FIRST = 8;
  private static final int MOST_ON_THE_WAY = 8_192;
  private static final long MOST_BACKLOG_NS = 1_000_000_000L;

  /** One that is to be passed goes on after this even if none comes behind it. */
  private static final long HOLD_MS = 50;

  private final EventLoop loop;
  private final Pipe pipe;
  private final InetSocketAddress sender;
  private final InetSocketAddress receiver;

  /** The face that the sender has for the receiver; set before anything comes. */
  private Channel out;

  private ByteBuf held;
  private Future<?> release;
  private int onTheWay;

  /** The first that came, to be sent again much later. */
  private final List<byte[]> first = new ArrayList<>();

  private long strangers;

  DatagramWay(EventLoop loop, Pipe pipe, InetSocketAddress sender, InetSocketAddress receiver) {
    this.loop = loop;
    this.pipe = pipe;
    this.sender = sender;
    this.receiver = receiver;
  }

  void out(Channel face) {
    out = face;
  }

  /** Datagrams that came from another address than the sender's: they go nowhere. */
  long strangers() {
    return strangers;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
    if (packet.sender().equals(sender)) {
      pipe.datagrams++;
      pipe.datagramBytes += packet.content().readableBytes();
      if (first.size() < MOST_FIRST) {
        first.add(ByteBufUtil.getBytes(packet.content()));
      }
      send(packet.content());
    } else {
      strangers++;
    }
  }

  List<byte[]> first() {
    return first;
  }

  /** Sends what the sender sent, or what is to look as if it had. */
  void send(ByteBuf data) {
    if (pipe.faults.cut() || pipe.happens(pipe.faults.drop())) {
      return;
    }
    if (pipe.happens(pipe.faults.garble())) {
      garble(data);
    }
    int copies = pipe.happens(pipe.faults.duplicate()) ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      if (held == null && pipe.happens(pipe.faults.reorder())) {
        held = data.retainedDuplicate();
        release = loop.schedule(this::passHeld, HOLD_MS, TimeUnit.MILLISECONDS);
      } else {
        pass(data.retainedDuplicate());
        passHeld();
      }
    }
  }

  /** One to four bytes become others. */
  private void garble(ByteBuf data) {
    for (int i = pipe.random.nextInt(4); i >= 0 && data.isReadable(); i--) {
      int at = data.readerIndex() + pipe.random.nextInt(data.readableBytes());
      data.setByte(at, data.getByte(at) ^ 1 + pipe.random.nextInt(255));
    }
  }

  private void passHeld() {
    if (held != null) {
      release.cancel(false);
      ByteBuf late = held;
      held = null;
      pass(late);
    }
  }

  private void pass(ByteBuf data) {
    long now = System.nanoTime();
    if (onTheWay >= MOST_ON_THE_WAY || pipe.backlogNs(now) > MOST_BACKLOG_NS) {
      data.release();
      return;
    }
    long wait = pipe.due(now, data.readableBytes()) - now;
    if (wait <= 0) {
      write(data);
    } else {
      onTheWay++;
      loop.schedule(
          () -> {
            onTheWay--;
            write(data);
          },
          wait,
          TimeUnit.NANOSECONDS);
    }
  }

  private void write(ByteBuf data) {
    if (pipe.faults.cut() || out == null || !out.isActive()) {
      data.release();
    } else {
      out.writeAndFlush(new DatagramPacket(data, receiver));
    }
  }

  /** A receiver that is not there is told by an error on its face, which ends nothing. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.read();
  }
}
