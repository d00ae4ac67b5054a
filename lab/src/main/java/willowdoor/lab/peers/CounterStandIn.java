package willowdoor.lab.peers;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import willowdoor.lab.net.OwnLoop;
import willowdoor.lab.record.Entry;
import willowdoor.lab.record.LabClock;
import willowdoor.lab.record.Recorder;

/**
 * The counter service: serves calls in turn, so many a second, and turns them away once its line is
 * full. It listens at an address for each front door, so that it knows whose calls they are. All on
 * its loop.
 */
public final class CounterStandIn implements Closeable {

  private static final int MOST_LINE = 256;
  private static final int MOST_CONNECTIONS = 32;
  private static final long IDLE_S = 10;

  private final OwnLoop own = new OwnLoop();
  private final Recorder records;
  private final Counter counter = new Counter();
  private final double queueMs;
  private double callsPerS;
  private double delayMs;
  private boolean begun;
  private boolean out;
  private long freeUs;

  /**
   * Serves callsPerS calls a second; whoever would wait for longer than queueMs is turned away, and
   * so is everybody until it is begun.
   */
  public CounterStandIn(Recorder records, double callsPerS, double queueMs) {
    this.records = records;
    this.callsPerS = callsPerS;
    this.queueMs = queueMs;
  }

  public void listen(String door, InetSocketAddress address) throws IOException {
    Map<String, Integer> open = new HashMap<>();
    Sockets.listen(
        own,
        address,
        () ->
            new ChannelHandler[] {
              new ReadTimeoutHandler(IDLE_S, TimeUnit.SECONDS),
              new LineBasedFrameDecoder(MOST_LINE),
              new Caller(door, open)
            });
  }

  public void begin() {
    own.loop().execute(() -> begun = true);
  }

  public void capacity(double calls) {
    own.loop().execute(() -> callsPerS = calls);
  }

  /** Every answer takes that much longer. */
  public void delay(double ms) {
    own.loop().execute(() -> delayMs = ms);
  }

  /** While it is out it says nothing, and adds nothing. */
  public void outage(boolean on) {
    own.loop().execute(() -> out = on);
  }

  /** All numbers begin anew. */
  public void forget() {
    own.loop().execute(counter::forget);
  }

  private final class Caller extends SimpleChannelInboundHandler<ByteBuf> {
    private final String door;
    private final Map<String, Integer> open;
    private long lastUs;

    Caller(String door, Map<String, Integer> open) {
      this.door = door;
      this.open = open;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      if (open.merge(door, 1, Integer::sum) > MOST_CONNECTIONS) {
        Sockets.reset(ctx.channel());
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      open.merge(door, -1, Integer::sum);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
      if (out) {
        return;
      }
      long now = records.clock().nowUs();
      String text = line.toString(StandardCharsets.ISO_8859_1);
      Counter.Call call = Counter.Call.parse(text);
      if (call == null) {
        answer(ctx, now, text.equals("ping") ? "pong" : "error", () -> {});
      } else if (!begun || freeUs - now > LabClock.us(queueMs)) {
        answer(ctx, now, "busy", () -> record(now, call, 0, "busy"));
      } else {
        freeUs = Math.max(freeUs, now) + (long) (1e6 / callsPerS);
        double total = counter.add(call, now);
        answer(
            ctx,
            freeUs + LabClock.us(delayMs),
            "ok " + Counter.text(total),
            () -> record(now, call, total, ctx.channel().isActive() ? "ok" : "lost"));
      }
    }

    /** Answers of a connection keep the order of their calls. */
    private void answer(ChannelHandlerContext ctx, long whenUs, String text, Runnable then) {
      long now = records.clock().nowUs();
      lastUs = Math.max(lastUs, whenUs);
      Runnable write =
          () -> {
            then.run();
            if (!out) {
              ctx.writeAndFlush(Unpooled.copiedBuffer(text + "\r\n", StandardCharsets.ISO_8859_1));
            }
          };
      if (lastUs <= now) {
        write.run();
      } else {
        ctx.executor().schedule(write, lastUs - now, TimeUnit.MICROSECONDS);
      }
    }

    private void record(long begin, Counter.Call call, double total, String how) {
      records.write(
          new Entry.Count(
              begin, records.clock().nowUs(), door, call.name(), call.amount(), total, how));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  @Override
  public void close() {
    own.close();
  }
}
