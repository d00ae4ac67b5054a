package willowdoor.front.servers;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import willowdoor.front.Peers;
import willowdoor.front.discovery.BackendListUpdate;
import willowdoor.front.loop.Clock;
import willowdoor.front.loop.EventCounters;
import willowdoor.front.loop.Transport;
import willowdoor.front.requests.Attempt;

/**
 * A pool on an event loop of its own with a manually advanced clock, and backends that the test
 * plays itself.
 */
final class PoolPeers implements Closeable {

  static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine";

  static final int CONNECT_MS = 1_000;

  private final AtomicLong nanos = new AtomicLong();
  final Clock clock = new Clock(Instant.ofEpochSecond(1_800_000_000), nanos::get);
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, Transport.BEST.ioHandler());
  final EventLoop loop = group.next();
  final Set<Long> banned = new HashSet<>();
  final EventCounters tally = new EventCounters();
  final BackendPool pool;
  private final List<Closeable> open = new ArrayList<>();
  private int version = 7;

  PoolPeers() throws Exception {
    pool =
        new BackendPool(
            loop, Transport.BEST, clock, tally, banned::contains, 100, CONNECT_MS, 15_000);
  }

  ServerSocket listen(int backlog, int receiveBuffer) throws IOException {
    ServerSocket server = new ServerSocket();
    open.add(server);
    if (receiveBuffer > 0) {
      server.setReceiveBufferSize(receiveBuffer);
    }
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), backlog);
    server.setSoTimeout(10_000);
    return server;
  }

  Socket accept(ServerSocket server) throws IOException {
    Socket socket = server.accept();
    open.add(socket);
    socket.setSoTimeout(10_000);
    socket.setTcpNoDelay(true);
    return socket;
  }

  /** Passes a complete list to the pool, and returns the id of its first backend. */
  long tell(String... entries) throws Exception {
    BackendListUpdate news = news(true, entries);
    run(() -> pool.onRoster(news));
    return news.entries().get(0).id();
  }

  BackendListUpdate news(boolean full, String... entries) throws IOException {
    return BackendListUpdate.parse(
        Peers.list(version++, full, entries).getBytes(StandardCharsets.UTF_8), clock.now());
  }

  static String entry(ServerSocket server, String state) {
    return Peers.entry("s-1", server.getLocalPort(), state);
  }

  void run(Runnable onLoop) throws InterruptedException {
    loop.submit(onLoop).sync();
  }

  /** Advances the clock after the loop has finished its current task. */
  void pass(long ms) {
    if (loop.inEventLoop()) {
      nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(ms));
    } else {
      loop.submit(() -> pass(ms)).syncUninterruptibly();
    }
  }

  RecordingAttempt attempt() {
    return attempt(RecordingAttempt.LENGTH);
  }

  RecordingAttempt attempt(int length) {
    return new RecordingAttempt(RecordingAttempt.message(length), clock.now() + 5_000);
  }

  /** A retry whose last byte must be written within this time. */
  RecordingAttempt repeat(int length, double withinMs) {
    return new RecordingAttempt(
        RecordingAttempt.message(length), clock.now() + 5_000, clock.now() + withinMs);
  }

  /** Runs on the loop after this many rounds of its tasks, before it polls its sockets. */
  void behind(int rounds, Runnable task) {
    loop.execute(rounds == 0 ? task : () -> behind(rounds - 1, task));
  }

  RecordingAttempt start(long backend, RecordingAttempt attempt) throws InterruptedException {
    run(() -> pool.start(backend, attempt));
    return attempt;
  }

  void awaitWritten(Attempt attempt) throws InterruptedException {
    while (!loop.submit(() -> attempt.written()).sync().getNow()) {
      Thread.onSpinWait();
    }
  }

  /** Receives the attempt's request on the connection, responds, and returns the attempt's end. */
  static String serve(Socket socket, RecordingAttempt attempt) throws Exception {
    read(socket, RecordingAttempt.LENGTH);
    write(socket, OK);
    return Peers.next(attempt.ends);
  }

  /** Reads a request with a body of this length; returns its head. */
  static String read(Socket socket, int length) throws IOException {
    InputStream in = socket.getInputStream();
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
      int b = in.read();
      if (b < 0) {
        throw new IOException("ended inside a head");
      }
      head.write(b);
    }
    if (in.readNBytes(length).length < length) {
      throw new IOException("ended inside a body");
    }
    return head.toString(StandardCharsets.ISO_8859_1);
  }

  static String read(Socket socket) throws IOException {
    return read(socket, RecordingAttempt.LENGTH);
  }

  static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Returns the number of bytes received until the connection ends in any way. */
  static int drain(Socket socket) throws IOException {
    int count = 0;
    byte[] piece = new byte[16 * 1024];
    try {
      for (int n = socket.getInputStream().read(piece);
          n >= 0;
          n = socket.getInputStream().read(piece)) {
        count += n;
      }
    } catch (SocketException e) {
      return count; // reset
    }
    return count;
  }

  @Override
  public void close() throws IOException {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    for (Closeable c : open) {
      c.close();
    }
  }
}
