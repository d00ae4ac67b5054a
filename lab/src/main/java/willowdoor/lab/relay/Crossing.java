package willowdoor.lab.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import willowdoor.lab.net.OwnLoop;

/**
 * One connection through the relay: the caller's side, the side to the one that is called, and the
 * ways between. The far side is opened only while neither way is cut; until then the caller's
 * connection is up and silent.
 */
final class Crossing {

  private final Channel near;
  private final Pipe there;
  private final Pipe back;
  private final InetSocketAddress target;
  private final OwnLoop own;
  private final Unreached unreached;
  private final SocketAddress caller;
  private final StreamWay out;
  private final Runnable goOn = this::goOn;
  private StreamWay in;
  private Channel far;

  /** Whether the caller's bytes were the last that came, and whether the other side has ended. */
  private boolean owed;

  private boolean calledEnded;
  private boolean ended;

  Crossing(
      Channel near,
      Pipe there,
      Pipe back,
      InetSocketAddress target,
      OwnLoop own,
      Unreached unreached) {
    this.near = near;
    this.there = there;
    this.back = back;
    this.target = target;
    this.own = own;
    this.unreached = unreached;
    caller = near.remoteAddress();
    out = new StreamWay(there, near, this::reset, this::closeIfFinished);
    near.pipeline().addLast(new Side(out));
    near.closeFuture().addListener(closed -> end());
    there.onChange(goOn);
    back.onChange(goOn);
    goOn();
  }

  private void goOn() {
    if (far == null && !there.faults.cut() && !back.faults.cut()) {
      connect();
    }
    out.goOn();
    if (in != null) {
      in.goOn();
    }
  }

  private void connect() {
    ChannelFuture connects =
        new Bootstrap()
            .group(near.eventLoop())
            .channel(EpollSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.AUTO_READ, false)
            .handler(new ChannelInboundHandlerAdapter())
            .connect(target);
    far = own.keep(connects.channel());
    connects.addListener(
        done -> {
          if (!done.isSuccess() || ended) {
            unreached.add(caller);
            reset();
            return;
          }
          in = new StreamWay(back, far, this::reset, this::closeIfFinished);
          far.pipeline().addLast(new Side(in));
          far.closeFuture().addListener(closed -> end());
          in.to(near);
          out.to(far);
        });
  }

  /** Ends both sides at once, and says so to both. */
  void reset() {
    ended = true;
    for (Channel side : new Channel[] {near, far}) {
      if (side != null) {
        if (side.isOpen()) {
          side.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        side.close();
      }
    }
  }

  /** Once neither side is open nothing is left of it. */
  private void end() {
    if (!near.isOpen() && (far == null || !far.isOpen())) {
      ended = true;
      there.forget(goOn);
      back.forget(goOn);
      out.release();
      if (in != null) {
        in.release();
      }
    }
  }

  /** Reads one side for the way that begins there. */
  private final class Side extends ChannelInboundHandlerAdapter {
    private final StreamWay way;
    private boolean told;

    Side(StreamWay way) {
      this.way = way;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object data) {
      owed = way == out;
      if (owed && calledEnded) {
        unreached.add(caller);
      }
      way.read((ByteBuf) data);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
      goOn();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      if (event == ChannelInputShutdownEvent.INSTANCE && !told) {
        told = true;
        ends();
        way.finish();
      }
    }

    private void ends() {
      if (way == in) {
        calledEnded = true;
        if (!owed) {
          unreached.add(caller);
        }
      }
    }

    /**
     * Broken, or gone altogether after its end was passed on: nobody takes what the other side
     * sends.
     */
    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (!ended) {
        told = true;
        ends();
        way.reset();
      }
    }

    /** A connection that breaks is closed by the channel itself. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  private void closeIfFinished() {
    if (out.finished() && in != null && in.finished()) {
      ended = true;
      near.close();
      far.close();
    }
  }
}
