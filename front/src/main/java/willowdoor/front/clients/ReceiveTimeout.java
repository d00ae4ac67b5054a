package willowdoor.front.clients;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the time that a client takes to send a request. For the head of the first request, the
 * time counts from the connect, so that a silent peer does not hold a descriptor; for each later
 * head, from its first bytes. Further bytes do not extend it. For a body, only the time spent
 * waiting for the client counts, and the limit grows with the bytes received.
 */
final class ReceiveTimeout extends ChannelInboundHandlerAdapter {

  /**
   * Between two bounds: a proper request may take 2 s, and a peer that sends none must get an error
   * or a close within 3 s.
   */
  private static final long LIMIT_MS = 2_500;

  /** Half the rate that clients are required to reach. */
  private static final double MIN_BYTES_PER_MS = 32;

  private static final long BODY_CHECK_MS = 500;

  private final Runnable onTimeout;
  private ChannelHandlerContext context;
  private Future<?> timer;
  private boolean insideBody;
  private boolean partialHead;

  /** The bytes received of the present body. */
  private long bytes;

  /** The time spent waiting for them. */
  private double waitedMs;

  /** When the present wait began; NaN if there is none. */
  private double waitingSince = Double.NaN;

  ReceiveTimeout(Runnable onTimeout) {
    this.onTimeout = onTimeout;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    startTimer(LIMIT_MS);
    ctx.fireChannelActive();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    ByteBuf read = (ByteBuf) message;
    partialHead = !insideBody;
    bytes += read.readableBytes();
    if (!Double.isNaN(waitingSince)) {
      waitedMs += now() - waitingSince;
      waitingSince = Double.NaN;
    }
    ctx.fireChannelRead(message);
    if (partialHead && timer == null) {
      startTimer(LIMIT_MS);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    stopTimer();
    ctx.fireChannelInactive();
  }

  /** Whether a part of a request's head has arrived and the rest has not. */
  boolean partialHead() {
    return partialHead;
  }

  void onHeadEnd() {
    insideBody = true;
    partialHead = false;
    bytes = 0;
    waitedMs = 0;
    stopTimer();
  }

  /** Called when more of the body is requested and has not arrived yet. */
  void onBodyReadRequested() {
    if (insideBody && Double.isNaN(waitingSince)) {
      waitingSince = now();
      if (timer == null) {
        startTimer(BODY_CHECK_MS);
      }
    }
  }

  void onBodyEnd() {
    insideBody = false;
    waitingSince = Double.NaN;
    stopTimer();
  }

  /** Called when the response is written and the beginning of the next head has already arrived. */
  void onNextHeadBegun() {
    partialHead = true;
    if (timer == null) {
      startTimer(LIMIT_MS);
    }
  }

  private boolean isLate() {
    return !insideBody
        || !Double.isNaN(waitingSince)
            && waitedMs + now() - waitingSince > LIMIT_MS + bytes / MIN_BYTES_PER_MS;
  }

  private static double now() {
    return System.nanoTime() / 1e6;
  }

  private void startTimer(long ms) {
    timer =
        context
            .executor()
            .schedule(
                () -> {
                  timer = null;
                  if (isLate()) {
                    onTimeout.run();
                  } else {
                    startTimer(BODY_CHECK_MS);
                  }
                },
                ms,
                TimeUnit.MILLISECONDS);
  }

  private void stopTimer() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }
}
