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
 * Tests input that clients send at the moment at which a drain acts. The test sends on the event
 * loop's thread, so the loop does not poll its sockets meanwhile. The test advances the clock
 * itself.
 */
@Timeout(30)
class DrainRaceTest {

  private static final String UP = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

  private final AtomicLong nanos = new AtomicLong();
  private final Clock clock = new Clock(Instant.EPOCH, nanos::get);
  private final PollTimes polls = new PollTimes(0);
  private EventLoopGroup group;

  /** The loop of the platform's listening socket, which the server adopts. */
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
    group = new LoopGroup(transport.ioHandler(), clock, polls);
    loop = group.next();
    server =
        new ClientServer(
            transport,
            clock,
            polls,
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
          server.markReady();
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

  /** Reads the next response, which has no body. */
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

  private void runRounds(int ms) {
    for (int i = 0; i < ms / 10; i++) {
      nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(10));
      server.closeIdleConnections();
    }
  }

  /**
   * Returns an idle connection at a time at which the first rounds that close idle connections have
   * passed.
   */
  private Socket idleConnectionInDrain() throws Exception {
    listen(Transport.BEST);
    Socket idle = connect();
    send(idle, UP);
    assertTrue(receive(idle).contains(" 200 "));
    onLoop(
        () -> {
          server.shutDown();
          runRounds(540);
          return null;
        });
    return idle;
  }

  @Test
  void requestAtTheMomentOfTheDrainIsAnswered() throws Exception {
    Socket idle = idleConnectionInDrain();
    onLoop(
        () -> {
          send(idle, UP);
          runRounds(50);
          return null;
        });
    String answer = receive(idle);
    assertTrue(
        answer.contains(" 503 ") && answer.toLowerCase(Locale.ROOT).contains("connection: close"),
        answer);
    assertTrue(ended(idle));
  }

  @Test
  void requestInPiecesAtTheMomentOfTheDrainIsAnswered() throws Exception {
    Socket idle = idleConnectionInDrain();
    onLoop(
        () -> {
          send(idle, UP.substring(0, 10));
          runRounds(50);
          return null;
        });
    onLoop(
        () -> {
          send(idle, UP.substring(10));
          runRounds(50);
          return null;
        });
    assertTrue(receive(idle).contains(" 503 "));
    assertTrue(ended(idle));
  }

  @Test
  void idleConnectionIsClosedWithoutAReset() throws Exception {
    Socket idle = idleConnectionInDrain();
    onLoop(
        () -> {
          runRounds(50);
          assertFalse(server.isTerminated());
          send(idle, UP);
          return null;
        });
    assertTrue(ended(idle));
    idle.close();
    while (!onLoop(server::isTerminated)) {
      Thread.onSpinWait();
    }
  }

  @Test
  void withdrawnDrainClosesNoConnection() throws Exception {
    listen(Transport.BEST);
    Socket idle = connect();
    send(idle, UP);
    assertTrue(receive(idle).contains(" 200 "));
    onLoop(
        () -> {
          server.setOperatorDrain(true);
          runRounds(540);
          server.setOperatorDrain(false);
          runRounds(500);
          server.setOperatorDrain(true);
          runRounds(540);
          server.setOperatorDrain(false);
          return null;
        });
    send(idle, UP);
    assertTrue(receive(idle).contains(" 200 "));
  }

  /** A second shutdown request does not delay the shutdown. */
  @Test
  void secondShutDownChangesNothing() throws Exception {
    listen(Transport.BEST);
    onLoop(
        () -> {
          server.shutDown();
          runRounds(300);
          server.shutDown();
          runRounds(300);
          assertTrue(server.isTerminated());
          return null;
        });
  }

  /** The connection is in the backlog; closing the listening socket would reset it. */
  @Test
  void connectionInTheBacklogIsServedWhenListeningEnds() throws Exception {
    assumeTrue(Epoll.isAvailable());
    listen(Transport.BEST);
    Socket waiting =
        onLoop(
            () -> {
              server.shutDown();
              runRounds(540);
              Socket socket = connect();
              send(socket, UP);
              runRounds(50);
              return socket;
            });
    assertTrue(receive(waiting).contains(" 503 "));
    assertTrue(ended(waiting));
  }

  /** Asserts that small writes are sent without delay (TCP_NODELAY). */
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
  void smallWritesAreNotDelayed() throws Exception {
    assertNoDelay(listen(Transport.BEST));
  }

  @Test
  void smallWritesAreNotDelayedOnAnAdoptedSocket() throws Exception {
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
          server.markReady();
          server.acceptIfReady();
          return null;
        });
    assertNoDelay(adopted);
  }
}
