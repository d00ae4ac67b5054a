package willowdoor.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the time that a client takes to send a request: the first one from the connect on, so that a silent
 * peer does not hold a descriptor, each later one from its first bytes on. More bytes do not extend it.
 */
final class ReceiveLimit extends ChannelInboundHandlerAdapter {

  /** A peer without a proper request is owed an error or a close within 3 s. */
  private static final long LIMIT_MS = 2_500;

  private final Runnable overdue;
  private Future<?> timer;
  private boolean whole;
  private boolean partial;

  ReceiveLimit(Runnable overdue) {
    this.overdue = overdue;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    arm(ctx);
    ctx.fireChannelActive();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    whole = false;
    partial = true;
    ctx.fireChannelRead(message);
    if (whole) {
      partial = false;
      disarm();
    } else if (timer == null) {
      arm(ctx);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    disarm();
    ctx.fireChannelInactive();
  }

  /** A whole request came with the bytes that are being read. */
  void whole() {
    whole = true;
  }

  /** Whether a part of a request has come and its rest has not. */
  boolean partial() {
    return partial;
  }

  private void arm(ChannelHandlerContext ctx) {
    timer = ctx.executor().schedule(() -> {
      timer = null;
      overdue.run();
    }, LIMIT_MS, TimeUnit.MILLISECONDS);
  }

  private void disarm() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }
}
