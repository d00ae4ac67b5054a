package elmsail.runtime;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class NettyEventLoopTest {

  private final NettyEventLoop loop = new NettyEventLoop();

  @AfterEach
  void end() {
    loop.shutdown();
  }

  @Test
  void continuesAfterATaskThrows() throws Exception {
    loop.execute(
        () -> {
          throw new IllegalStateException("a test's");
        });
    loop.schedule(
        1,
        () -> {
          throw new AssertionError("a test's");
        });
    CompletableFuture<Long> then = new CompletableFuture<>();
    loop.schedule(20, () -> then.complete(loop.faultCount()));
    assertThat(then.get(), is(2L));
  }

  @Test
  void runsOnOneThreadAndSkipsCancelledTimers() throws Exception {
    AtomicBoolean ran = new AtomicBoolean();
    CountDownLatch done = new CountDownLatch(1);
    CompletableFuture<Boolean> inside = new CompletableFuture<>();
    loop.execute(
        () -> {
          inside.complete(loop.eventLoop().inEventLoop());
          Timers.Timer never = loop.schedule(0, () -> ran.set(true));
          never.cancel();
          loop.schedule(5, done::countDown);
        });
    assertThat(inside.get(), is(true));
    assertThat(done.await(10, TimeUnit.SECONDS), is(true));
    assertThat(ran.get(), is(false));
  }

  @Test
  void ignoresTasksAfterShutdown() throws Exception {
    loop.shutdown().get();
    loop.execute(() -> {});
    loop.schedule(1, () -> {}).cancel();
    assertThat(loop.faultCount(), is(0L));
  }

  /**
   * The loop stands still after it has looked at its sockets and before it runs its timers: what
   * arrives meanwhile at another socket is read before a timer that became due meanwhile.
   */
  @Test
  void lateTimerRunsAfterTheSocketsWereRead() throws Exception {
    List<String> order = new CopyOnWriteArrayList<>();
    CountDownLatch both = new CountDownLatch(2);
    Channel receiver =
        bindDatagramChannel(
            () -> {
              order.add("socket");
              both.countDown();
            });
    Channel stalling =
        bindDatagramChannel(
            () -> {
              loop.schedule(
                  1,
                  () -> {
                    order.add("timer");
                    both.countDown();
                  });
              sendTo((InetSocketAddress) receiver.localAddress());
              sleepLongerThanATimerMayBeLate();
            });
    sendTo((InetSocketAddress) stalling.localAddress());
    assertThat(both.await(10, TimeUnit.SECONDS), is(true));
    assertThat(order, contains("socket", "timer"));
  }

  /** A channel on the loop that runs the action with each datagram. */
  private Channel bindDatagramChannel(Runnable onDatagram) throws InterruptedException {
    return new Bootstrap()
        .group(loop.eventLoop())
        .channel(NioDatagramChannel.class)
        .handler(
            new SimpleChannelInboundHandler<DatagramPacket>() {
              @Override
              protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                onDatagram.run();
              }
            })
        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        .sync()
        .channel();
  }

  @Test
  void lateTimerThatIsCancelledWhileItWaitsForTheSocketsDoesNotRun() throws Exception {
    AtomicBoolean ran = new AtomicBoolean();
    CountDownLatch done = new CountDownLatch(1);
    loop.execute(
        () -> {
          Timers.Timer late = loop.schedule(1, () -> ran.set(true));
          sleepLongerThanATimerMayBeLate();
          // Run in the same turn as the late timer, which has yielded by then.
          loop.schedule(0, late::cancel);
          loop.schedule(100, done::countDown);
        });
    assertThat(done.await(10, TimeUnit.SECONDS), is(true));
    assertThat(ran.get(), is(false));
  }

  private static void sendTo(InetSocketAddress address) {
    try (DatagramSocket sender = new DatagramSocket()) {
      sender.send(new java.net.DatagramPacket(new byte[1], 1, address));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void sleepLongerThanATimerMayBeLate() {
    try {
      Thread.sleep(3 * NettyEventLoop.LATE_TIMER_MS);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
