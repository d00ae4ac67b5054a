package willowdoor.front.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.front.loop.Clock;
import willowdoor.front.loop.Descriptors;
import willowdoor.front.loop.EventCounters;
import willowdoor.front.loop.LoopGroup;
import willowdoor.front.loop.PollTimes;
import willowdoor.front.loop.Transport;

/**
 * What comes from clients in the very moment in which a drain acts: it is sent on the loop's
 * thread, which does not look at its sockets meanwhile. The clock is moved by hand.
 */
@Timeout(30)
class ClientCrossingTest {

  private static final String UP = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

  private final AtomicLong nanos = new AtomicLong();
  private final Clock clock = new Clock(Instant.EPOCH, nanos::get);
  private final PollTimes looks = new PollTimes(0);
  private EventLoopGroup group;

  /** Holds the listening socket that is adopted. */
  private EventLoopGroup platform;

  private EventLoop loop;
  private ClientServer server;
  private InetSocketAddress address;

  @AfterEach
  void close() throws Exception {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    if (platform != null) {
      platform.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    }
  }

  private void make(Transport transport) throws Exception {
    group = new LoopGroup(transport.ioHandler(), clock, looks);
    loop = group.next();
    server =
        new ClientServer(
            transport,
            clock,
            looks,
            null,
            null,
            Descriptors.of(128),
            new EventCounters(),
            () -> true);
  }

  private Channel listen(Transport transport) throws Exception {
    make(transport);
    SocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    Channel listening = server.listen(group, any).sync().channel();
    address = (InetSocketAddress) listening.localAddress();
    onLoop(
        () -> {
          server.serve();
          return null;
        });
    return listening;
  }

  private <T> T onLoop(Callable<T> task) throws Exception {
    return loop.submit(task).sync().getNow();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(10_000);
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** The next answer, which has no body. */
  private static String receive(Socket socket) throws IOException {
    StringBuilder answer = new StringBuilder();
    while (answer.indexOf("\r\n\r\n") < 0) {
      int next = socket.getInputStream().read();
      if (next < 0) {
        return "end";
      }
      answer.append((char) next);
    }
    return answer.toString();
  }

  private static boolean ended(Socket socket) throws IOException {
    return socket.getInputStream().read() < 0;
  }

  private void rounds(int ms) {
    for (int i = 0; i < ms / 10; i++) {
      nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(10));
      server.partWithIdle();
    }
  }

  /**
   * The first rounds that end idle connections have gone by, and the client has sent nothing yet.
   */
  private Socket restingAtTheEnd() throws Exception {
    listen(Transport.BEST);
    Socket resting = connect();
    send(resting, UP);
    assertTrue(receive(resting).contains(" 200 "));
    onLoop(
        () -> {
          server.end();
          rounds(540);
          return null;
        });
    return resting;
  }

  @Test
  void aRequestInTheMomentOfTheDrainIsAnswered() throws Exception {
    Socket resting = restingAtTheEnd();
    onLoop(
        () -> {
          send(resting, UP);
          rounds(50);
          return null;
        });
    String answer = receive(resting);
    assertTrue(
        answer.contains(" 503 ") && answer.toLowerCase(Locale.ROOT).contains("connection: close"),
        answer);
    assertTrue(ended(resting));
  }

  @Test
  void aRequestInPiecesInTheMomentOfTheDrainIsAnswered() throws Exception {
    Socket resting = restingAtTheEnd();
    onLoop(
        () -> {
          send(resting, UP.substring(0, 10));
          rounds(50);
          return null;
        });
    onLoop(
        () -> {
          send(resting, UP.substring(10));
          rounds(50);
          return null;
        });
    assertTrue(receive(resting).contains(" 503 "));
    assertTrue(ended(resting));
  }

  @Test
  void aConnectionThatRestsIsEndedWithoutAReset() throws Exception {
    Socket resting = restingAtTheEnd();
    onLoop(
        () -> {
          rounds(50);
          assertFalse(server.ended());
          send(resting, UP);
          return null;
        });
    assertTrue(ended(resting));
    resting.close();
    while (!onLoop(server::ended)) {
      Thread.onSpinWait();
    }
  }

  @Test
  void aDrainThatIsTakenBackEndsNothing() throws Exception {
    listen(Transport.BEST);
    Socket resting = connect();
    send(resting, UP);
    assertTrue(receive(resting).contains(" 200 "));
    onLoop(
        () -> {
          server.evacuate(true);
          rounds(540);
          server.evacuate(false);
          rounds(500);
          server.evacuate(true);
          rounds(540);
          server.evacuate(false);
          return null;
        });
    send(resting, UP);
    assertTrue(receive(resting).contains(" 200 "));
  }

  /** The planned end told twice ends no later. */
  @Test
  void aSecondEndChangesNothing() throws Exception {
    listen(Transport.BEST);
    onLoop(
        () -> {
          server.end();
          rounds(300);
          server.end();
          rounds(300);
          assertTrue(server.ended());
          return null;
        });
  }

  /** The system has accepted it; closing the listening socket would reset it. */
  @Test
  void aConnectionThatWaitsToBeAcceptedWhenListeningEndsIsServed() throws Exception {
    assumeTrue(Epoll.isAvailable());
    listen(Transport.BEST);
    Socket waiting =
        onLoop(
            () -> {
              server.end();
              rounds(540);
              Socket socket = connect();
              send(socket, UP);
              rounds(50);
              return socket;
            });
    assertTrue(receive(waiting).contains(" 503 "));
    assertTrue(ended(waiting));
  }

  /** Small writes are not held back. */
  private void assertNoDelay(Channel listening) throws Exception {
    BlockingQueue<Channel> accepted = new LinkedBlockingQueue<>();
    onLoop(
        () ->
            listening
                .pipeline()
                .addFirst(
                    new ChannelInboundHandlerAdapter() {
                      @Override
                      public void channelRead(ChannelHandlerContext ctx, Object child) {
                        accepted.add((Channel) child);
                        ctx.fireChannelRead(child);
                      }
                    }));
    try (Socket client = connect()) {
      send(client, UP);
      assertTrue(receive(client).contains(" 200 "));
      assertEquals(true, accepted.remove().config().getOption(ChannelOption.TCP_NODELAY));
    }
  }

  @Test
  void smallWritesAreNotHeldBack() throws Exception {
    assertNoDelay(listen(Transport.BEST));
  }

  @Test
  void smallWritesAreNotHeldBackOnAnAdoptedSocket() throws Exception {
    assumeTrue(Epoll.isAvailable());
    make(Transport.BEST);
    platform = new MultiThreadIoEventLoopGroup(1, EpollIoHandler.newFactory());
    EpollServerSocketChannel platforms =
        (EpollServerSocketChannel)
            new ServerBootstrap()
                .group(platform)
                .channel(EpollServerSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInboundHandlerAdapter())
                .bind(InetAddress.getLoopbackAddress(), 0)
                .sync()
                .channel();
    address = platforms.localAddress();
    EpollServerSocketChannel adopted = new EpollServerSocketChannel(platforms.fd().intValue());
    server.adopt(group, adopted).sync();
    onLoop(
        () -> {
          server.serve();
          server.acceptIfReady();
          return null;
        });
    assertNoDelay(adopted);
  }
}
