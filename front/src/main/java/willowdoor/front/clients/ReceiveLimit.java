package willowdoor.front.clients;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the time that a client takes to send a request. Its head: the first one from the connect
 * on, so that a silent peer does not hold a descriptor, each later one from its first bytes on;
 * more bytes do not extend it. Its body: the time in which the client is waited for, which grows
 * with the bytes that come.
 */
final class ReceiveLimit extends ChannelInboundHandlerAdapter {

  /**
   * A peer without a proper request is owed an error or a close within 3 s; a proper one may take 2
   * s.
   */
  private static final long LIMIT_MS = 2_500;

  /** Half the pace that is asked of clients. */
  private static final double LEAST_BYTES_PER_MS = 32;

  private static final long BODY_STEP_MS = 500;

  private final Runnable overdue;
  private ChannelHandlerContext context;
  private Future<?> timer;
  private boolean insideBody;
  private boolean partial;

  /**
   * Of the body that is being read: its bytes, the time waited for them, and since when it is
   * waited now.
   */
  private long bytes;

  private double waitedMs;
  private double waitsSince = Double.NaN;

  ReceiveLimit(Runnable overdue) {
    this.overdue = overdue;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    arm(LIMIT_MS);
    ctx.fireChannelActive();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    ByteBuf read = (ByteBuf) message;
    partial = !insideBody;
    bytes += read.readableBytes();
    if (!Double.isNaN(waitsSince)) {
      waitedMs += now() - waitsSince;
      waitsSince = Double.NaN;
    }
    ctx.fireChannelRead(message);
    if (partial && timer == null) {
      arm(LIMIT_MS);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    disarm();
    ctx.fireChannelInactive();
  }

  /** Whether a part of a request's head has come and its rest has not. */
  boolean partial() {
    return partial;
  }

  void headCame() {
    insideBody = true;
    partial = false;
    bytes = 0;
    waitedMs = 0;
    disarm();
  }

  /** More of the body is asked for, and has not come yet. */
  void waits() {
    if (insideBody && Double.isNaN(waitsSince)) {
      waitsSince = now();
      if (timer == null) {
        arm(BODY_STEP_MS);
      }
    }
  }

  void bodyCame() {
    insideBody = false;
    waitsSince = Double.NaN;
    disarm();
  }

  /** The answer is written, and the beginning of the next head has come already. */
  void begunAhead() {
    partial = true;
    if (timer == null) {
      arm(LIMIT_MS);
    }
  }

  private boolean late() {
    return !insideBody
        || !Double.isNaN(waitsSince)
            && waitedMs + now() - waitsSince > LIMIT_MS + bytes / LEAST_BYTES_PER_MS;
  }

  private static double now() {
    return System.nanoTime() / 1e6;
  }

  private void arm(long ms) {
    timer =
        context
            .executor()
            .schedule(
                () -> {
                  timer = null;
                  if (late()) {
                    overdue.run();
                  } else {
                    arm(BODY_STEP_MS);
                  }
                },
                ms,
                TimeUnit.MILLISECONDS);
  }

  private void disarm() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }
}
