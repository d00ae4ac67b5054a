package willowdoor.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import willowdoor.front.Peers.Client;
import willowdoor.front.discovery.BackendListUpdate;
import willowdoor.front.discovery.DiscoveryClient;
import willowdoor.front.loop.Clock;
import willowdoor.front.loop.EventCounters;
import willowdoor.front.loop.Transport;

/** The backend list: how changes arrive, and their effects. */
@Timeout(40)
class DiscoveryTest {

  private static final String UP = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

  private final Peers peers = new Peers();
  @TempDir private Path folder;

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  private ServerSocket namedBackend(String name) {
    return peers.listen(
        50,
        (in, out, socket) -> {
          while (true) {
            Peers.read(in);
            Peers.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + name);
          }
        });
  }

  private void askUntil(String name) throws IOException {
    Client client = peers.client();
    int n = 0;
    while (!client.ask(Peers.get("to-" + name + n++, 3000)).text().equals(name)) {
      Thread.onSpinWait();
    }
  }

  @Test
  void takesChangesThatAreSplitAcrossChunks() throws Exception {
    int first = namedBackend("1").getLocalPort();
    int second = namedBackend("2").getLocalPort();
    peers.start(peers.config(Peers.entry("s-1", first, "active")));
    assertEquals("GET /discovery/hosts?stream=1&index=7 HTTP/1.1", Peers.next(peers.watches));
    askUntil("1");
    String line =
        Peers.list(
                8,
                false,
                Peers.entry("s-1", first, "leaving"),
                Peers.entry("s-2", second, "active"))
            + "\n";
    peers.tell("\n" + line.substring(0, 30));
    peers.tell(line.substring(30, 90));
    peers.tell(line.substring(90) + "\n");
    askUntil("2");
    Client client = peers.client();
    for (int i = 0; i < 20; i++) {
      assertEquals("2", client.ask(Peers.get("r" + i, 3000)).text());
    }
  }

  /** A reopened watch receives the last change once more, which must not close any connection. */
  @Test
  void repeatedChangeClosesNoConnection() throws Exception {
    AtomicInteger connections = new AtomicInteger();
    int port =
        peers
            .listen(
                50,
                (in, out, socket) -> {
                  connections.incrementAndGet();
                  while (true) {
                    Peers.read(in);
                    Peers.write(out, Peers.OK);
                  }
                })
            .getLocalPort();
    String known = Peers.entry("s-1", port, "active");
    FrontDoor door = peers.start(peers.config(known));
    Peers.next(peers.watches);
    Client client = peers.client();
    assertEquals(200, client.ask(Peers.get("r1", 3000)).status());
    String change =
        Peers.list(8, false, known, Peers.entry("s-2", 1, "leaving"), Peers.entry("s-3", 1, "left"))
            + "\n";
    String all = Peers.list(9, true, known) + "\n";
    for (String list : List.of(change, change, all, all)) {
      peers.tell(list);
    }
    peers.tell("junk");
    // The gateway has read all of it by the time it requests the list again.
    assertTrue(Peers.next(peers.watches).contains("index=8 "));
    door.loop().submit(() -> {}).sync();
    for (int i = 2; i < 10; i++) {
      Thread.sleep(100); // far longer than the connection's reuse delay
      assertEquals(200, client.ask(Peers.get("r" + i, 3000)).status());
    }
    assertEquals(1, connections.get());
  }

  /** An object may span many lines and be split at any position. */
  @Test
  void takesAnIndentedListThatIsSplitAnywhere() throws Exception {
    int second = namedBackend("2").getLocalPort();
    peers.start();
    Peers.next(peers.watches);
    String list = Peers.list(8, true, Peers.entry("s-2", second, "active"));
    String indented = list.replace("{", "{\n  ").replace(",", ",\n  ").replace("}", "\n}") + "\n";
    for (int from = 0; from < indented.length(); from += 7) {
      peers.tell(indented.substring(from, Math.min(indented.length(), from + 7)));
    }
    askUntil("2");
    assertEquals(0, peers.watches.size());
  }

  /**
   * An attempt whose connection is still being opened when its backend drains is not written any
   * more.
   */
  @Test
  void attemptWaitingForItsConnectionIsNotWrittenToADrainedBackend() throws Exception {
    List<SocketChannel> filling = new ArrayList<>();
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      for (int i = 0; i < 8; i++) {
        SocketChannel channel = SocketChannel.open();
        filling.add(channel);
        channel.configureBlocking(false);
        channel.connect(full.getLocalSocketAddress());
      }
      String config = peers.config(Peers.entry("s-1", full.getLocalPort(), "active"));
      peers.start(
          config
              .replace("\"DialTimeoutMs\":250", "\"DialTimeoutMs\":20000")
              .replace("\"Cancel\":true", "\"Cancel\":false"));
      Peers.next(peers.watches);
      Client client = peers.client();
      long from = System.nanoTime();
      client.send(
          Peers.post("r1", "b").replace("Request-Timeout-Ms: 3000", "Request-Timeout-Ms: 15000"));
      Peers.next(peers.atCounter);
      // The next counter call follows the first one's response, so the first attempt is already
      // started.
      peers.client().send(Peers.post("r2", "b"));
      Peers.next(peers.atCounter);
      peers.tell(Peers.list(8, false, Peers.entry("s-1", full.getLocalPort(), "leaving")) + "\n");
      assertEquals(503, client.receive().status());
      assertTrue(System.nanoTime() - from < TimeUnit.SECONDS.toNanos(9));
    } finally {
      for (SocketChannel channel : filling) {
        channel.close();
      }
    }
  }

  @Test
  void malformedDataEndsTheWatchAndTheNextRequestsTheLastChangeAgain() throws Exception {
    peers.start();
    Peers.next(peers.watches);
    peers.tell(Peers.list(9, false) + "\n");
    peers.tell("{\"version\":10,\"servers\":[{\"id\":\n");
    assertTrue(Peers.next(peers.watches).contains("index=8 "));
    assertEquals(200, peers.client().ask(Peers.get("r1", 3000)).status());
  }

  /**
   * The configuration's list may be outdated. Clients, including those still connected to the
   * previous process, are accepted only after discovery has sent the changes since.
   */
  @Test
  void nothingIsSentByAnOldListBeforeDiscoverySendsItsChanges() throws Exception {
    int agent =
        peers
            .listen(
                50,
                (in, out, socket) -> {
                  Peers.read(in);
                  pause(300);
                  String news =
                      Peers.list(
                              8, false, Peers.entry("s-1", peers.backend.getLocalPort(), "leaving"))
                          + "\n";
                  Peers.write(
                      out,
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                          + Integer.toHexString(news.length())
                          + "\r\n"
                          + news
                          + "\r\n");
                  in.read();
                })
            .getLocalPort();
    AtomicInteger served = new AtomicInteger();
    int other =
        peers
            .listen(
                50,
                (in, out, socket) -> {
                  while (true) {
                    Peers.read(in);
                    served.incrementAndGet();
                    Peers.write(out, Peers.OK);
                  }
                })
            .getLocalPort();
    peers.begin(
        withDiscovery(
            agent,
            Peers.entry("s-1", peers.backend.getLocalPort(), "active"),
            Peers.entry("s-2", other, "active")),
        folder.resolve("operators.json"));
    Client client = peers.client();
    for (int i = 0; i < 20; i++) {
      assertEquals(200, client.ask(Peers.get("r" + i, 3000)).status());
    }
    assertEquals(20, served.get());
    assertEquals(200, client.ask(UP).status());
  }

  /** If discovery is silent or reports no change, the configuration's list is used. */
  @ParameterizedTest
  @ValueSource(strings = {"", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"})
  void isUpWithoutAnUpdateAfterAWhile(String answer) throws Exception {
    int agent =
        peers
            .listen(
                50,
                (in, out, socket) -> {
                  Peers.read(in);
                  Peers.write(out, answer);
                  in.read();
                })
            .getLocalPort();
    peers.start(withDiscovery(agent, Peers.entry("s-1", peers.backend.getLocalPort(), "active")));
    Client client = peers.client();
    assertEquals(200, client.ask(UP).status());
    assertEquals(200, client.ask(Peers.get("r1", 3000)).status());
  }

  /**
   * Neither discovery nor the counter accepts connections: startup is delayed for a limited time
   * only.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void isUpAlthoughConnectsAreRefusedOrNeverComplete(boolean refused) throws Exception {
    ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    int port = full.getLocalPort();
    List<SocketChannel> queued = Peers.fill(full);
    if (refused) {
      full.close();
    }
    String config = withDiscovery(port, Peers.entry("s-1", peers.backend.getLocalPort(), "active"));
    peers.start(
        config.replaceFirst("\"counter\":\"[^\"]*\"", "\"counter\":\"127.0.0.1:" + port + '"'));
    assertEquals(200, peers.client().ask(UP).status());
    for (SocketChannel channel : queued) {
      channel.close();
    }
    full.close();
  }

  private String withDiscovery(int port, String... entries) {
    return peers
        .config(entries)
        .replaceFirst("\"discovery\":\"[^\"]*\"", "\"discovery\":\"127.0.0.1:" + port + "\"");
  }

  private static void pause(long ms) throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  /**
   * Malformed data is counted for the log, changes nothing, and does not cause the next watch to
   * open sooner.
   */
  @Test
  void malformedDataIsCounted() throws Exception {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, Transport.BEST.ioHandler());
    Logger logger = Logger.getLogger(EventCounters.class.getName());
    BlockingQueue<String> logged = new LinkedBlockingQueue<>();
    Handler handler =
        new StreamHandler() {
          @Override
          public synchronized void publish(LogRecord entry) {
            logged.add(entry.getMessage());
          }
        };
    logger.addHandler(handler);
    try {
      EventCounters tally = new EventCounters();
      BlockingQueue<BackendListUpdate> told = new LinkedBlockingQueue<>();
      DiscoveryClient client =
          new DiscoveryClient(
              group.next(),
              Transport.BEST,
              new Clock(),
              (InetSocketAddress) peers.discovery.getLocalSocketAddress(),
              7,
              tally,
              told::add);
      group.next().execute(client::start);
      Peers.next(peers.watches);
      peers.tell("{\"version\":8,\"servers\":[{\"id\":\n");
      assertTrue(Peers.next(peers.watches).contains("index=6 "));
      peers.tell(Peers.list(9, true) + "\n");
      assertEquals(7, Peers.next(told).version());
      assertEquals(9, Peers.next(told).version());
      group.next().submit(() -> tally.log("figures")).sync();
      assertEquals("figures DISCOVERY_UNREADABLE=1", Peers.next(logged));
    } finally {
      logger.removeHandler(handler);
      group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    }
  }

  /** A message without a servers field is not an empty list. */
  @Test
  void messageWithoutAListIsMalformed() throws Exception {
    peers.start();
    Peers.next(peers.watches);
    peers.tell("{\"version\":9,\"full\":true}\n");
    assertTrue(Peers.next(peers.watches).contains("index=6 "));
    assertEquals(200, peers.client().ask(Peers.get("r1", 3000)).status());
  }

  /** A vanished machine sends no reset: the watch is replaced because of its silence alone. */
  @Test
  void silentWatchIsReplaced() throws Exception {
    peers.start();
    Peers.next(peers.watches);
    assertTrue(Peers.next(peers.watches).contains("index=6 "));
  }

  @Test
  void configurationErrorNamesTheInvalidPart() throws IOException {
    String good = peers.config();
    assertEquals(50, Peers.parse(good).settings().options().counterTimeoutMs());
    for (String[] bad :
        new String[][] {
          {"127.0.0.1:0", "somewhere:80", "listen"},
          {"8c1f30d27a5be964", "seed", "seed"},
          {"\"Profiles\"", "\"Other\"", "classes"}
        }) {
      String message =
          assertThrows(IOException.class, () -> Peers.parse(good.replace(bad[0], bad[1])))
              .getMessage();
      assertTrue(message.contains(bad[2]), message);
    }
  }
}
