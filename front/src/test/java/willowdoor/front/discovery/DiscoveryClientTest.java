package willowdoor.front.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.front.Peers;
import willowdoor.front.loop.Clock;
import willowdoor.front.loop.EventCounters;
import willowdoor.front.loop.Transport;

/** Checks the sockets that the watch opens, and how each attempt ends. */
@Timeout(30)
class DiscoveryClientTest {

  private static final BlockingQueue<RecordedSocket> CREATED = new LinkedBlockingQueue<>();
  private static final AtomicInteger FAILING = new AtomicInteger();

  /** A socket that the test records, and whose opening fails a given number of times. */
  public static final class RecordedSocket extends NioSocketChannel {
    public RecordedSocket() {
      if (FAILING.getAndDecrement() > 0) {
        throw new ChannelException("Too many open files");
      }
      // Netty's default is true.
      config().setTcpNoDelay(false);
      CREATED.add(this);
    }
  }

  private static final Transport RECORDED =
      new Transport(
          NioIoHandler.newFactory(), RecordedSocket.class, NioServerSocketChannel.class, true);

  private final Peers peers = new Peers();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final BlockingQueue<BackendListUpdate> updates = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> severe = new LinkedBlockingQueue<>();
  private final Logger log = Logger.getLogger(DiscoveryClient.class.getName());
  private final Handler handler =
      new StreamHandler() {
        @Override
        public synchronized void publish(LogRecord line) {
          if (line.getLevel() == Level.SEVERE) {
            severe.add(line.getMessage());
          }
        }
      };

  @BeforeEach
  void listen() {
    CREATED.clear();
    FAILING.set(0);
    log.addHandler(handler);
  }

  @AfterEach
  void close() throws Exception {
    log.removeHandler(handler);
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    peers.close();
  }

  private void start(ServerSocket agent) throws InterruptedException {
    InetSocketAddress address = (InetSocketAddress) agent.getLocalSocketAddress();
    DiscoveryClient client =
        new DiscoveryClient(
            group.next(), RECORDED, new Clock(), address, 7, new EventCounters(), updates::add);
    group.next().submit(client::start).sync();
  }

  /**
   * If no file descriptor is available, each attempt ends like a refused connect, without an
   * exception in the watch.
   */
  @Test
  void attemptWithoutADescriptorFails() throws Exception {
    FAILING.set(3);
    start(peers.discovery);
    assertTrue(Peers.next(peers.watches).contains("index=6 "));
    assertEquals(7, Peers.next(updates).version());
    assertTrue(severe.isEmpty(), () -> "logged: " + severe);
  }

  @Test
  void requestIsSentWithoutDelay() throws Exception {
    start(peers.discovery);
    Peers.next(peers.watches);
    assertTrue(Peers.next(CREATED).config().isTcpNoDelay());
  }

  /**
   * A pending connect is closed once its attempt times out, so that it cannot complete after the
   * next attempt.
   */
  @Test
  void pendingConnectIsClosedAfterItsTimeout() throws Exception {
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      var queued = Peers.fill(full);
      start(full);
      RecordedSocket first = Peers.next(CREATED);
      RecordedSocket second = Peers.next(CREATED);
      assertTrue(!first.isOpen() && second.isOpen());
      for (var channel : queued) {
        channel.close();
      }
    }
  }
}
