package willowdoor.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import willowdoor.front.Peers.Client;

/**
 * Clients that disconnect while their request waits, with unread bytes after the request. No
 * attempt may begin for such a client; the unread bytes could hide the disconnect.
 */
@Timeout(300)
class ClientDisconnectTest {

  private static final String UP = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

  /** A timeout for requests of which only the outcome matters. */
  private static final int UNHURRIED_MS = 100_000;

  private final Peers peers = new Peers();
  private final List<String> arrived = new CopyOnWriteArrayList<>();

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  enum DisconnectKind {
    CLOSES,
    RESETS,
    ENDS_SENDING;

    void disconnect(Client client) throws IOException {
      switch (this) {
        case CLOSES -> client.close();
        case RESETS -> {
          client.socket.setSoLinger(true, 0);
          client.close();
        }
        default -> client.socket.shutdownOutput();
      }
    }
  }

  static void await(CountDownLatch latch) throws IOException {
    try {
      latch.await(Peers.HANG_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  /** Runs the event loop often enough that it has handled everything that arrived before. */
  private void runLoop() throws IOException {
    Client other = peers.client();
    for (int i = 0; i < 300; i++) {
      assertEquals(200, other.ask(UP).status());
    }
  }

  /**
   * Sends bytes that form no request and may exceed the socket buffers, then disconnects after
   * them.
   */
  private static void sendAndDisconnect(Client client, int bytes, DisconnectKind kind)
      throws IOException {
    client.socket.getOutputStream().write(new byte[bytes]);
    kind.disconnect(client);
  }

  /**
   * The backend rejects the attempt without starting it; for a connected client a retry would
   * follow.
   */
  @ParameterizedTest
  @CsvSource({
    "CLOSES, 0",
    "CLOSES, 10000",
    "CLOSES, 100000",
    "CLOSES, 4000000",
    "RESETS, 0",
    "RESETS, 10000",
    "RESETS, 100000",
    "RESETS, 4000000",
    "ENDS_SENDING, 0",
    "ENDS_SENDING, 10000",
    "ENDS_SENDING, 4000000"
  })
  void noRetryBeginsForADisconnectedClient(DisconnectKind kind, int bytes) throws Exception {
    CountDownLatch disconnected = new CountDownLatch(1);
    peers.answer =
        (request, out) -> {
          await(disconnected);
          return Peers.write(
              out, "r1".equals(request.header("Request-Id")) ? Peers.NOT_STARTED : Peers.OK);
        };
    peers.startWithWideLimits();
    Client client = peers.client();
    client.send(Peers.get("r1", UNHURRIED_MS));
    Peers.next(peers.atBackend);
    sendAndDisconnect(client, bytes, kind);
    runLoop();
    disconnected.countDown();
    // After a rejected attempt the pressure is up, and other requests may be refused for a while.
    Client other = peers.client();
    for (int i = 0; other.ask(Peers.get("other" + i, UNHURRIED_MS)).status() != 200; i++) {
      Thread.onSpinWait();
    }
    assertTrue(Peers.next(peers.atBackend).header("Request-Id").startsWith("other"));
  }

  /**
   * The connect to the backend completes only after the client has disconnected. With a body, the
   * body exceeds the kept prefix.
   */
  @ParameterizedTest
  @CsvSource({
    "CLOSES, false, 0",
    "CLOSES, false, 10000",
    "CLOSES, false, 4000000",
    "RESETS, false, 10000",
    "RESETS, false, 4000000",
    "ENDS_SENDING, false, 4000000",
    "CLOSES, true, 20000",
    "CLOSES, true, 100000",
    "RESETS, true, 100000",
    "ENDS_SENDING, true, 100000"
  })
  void noAttemptBeginsForAClientThatDisconnectedDuringTheConnect(
      DisconnectKind kind, boolean body, int bytes) throws Exception {
    try (ReservedPort port = ReservedPort.any();
        ServerSocket full = new ServerSocket(port.port(), 1, InetAddress.getLoopbackAddress())) {
      List<SocketChannel> fill = Peers.fill(full);
      peers.start(peers.configWithWideLimits(Peers.entry("s-1", full.getLocalPort(), "active")));
      Client client = peers.client();
      client.send(
          body
              ? Peers.post("r1", "", UNHURRIED_MS)
                  .replace("Content-Length: 0", "Content-Length: 300000")
              : Peers.get("r1", UNHURRIED_MS));
      sendAndDisconnect(client, bytes, kind);
      runLoop();
      // The system retries this connect after that of the disconnected client.
      Client other = peers.client();
      other.send(Peers.get("other", UNHURRIED_MS));
      runLoop();
      for (SocketChannel c : fill) {
        c.close();
      }
      Thread accepts = new Thread(() -> accept(full));
      accepts.setDaemon(true);
      accepts.start();
      for (int i = 0; other.receive().status() != 200; i++) {
        other.send(Peers.get("other" + i, UNHURRIED_MS));
      }
    }
    assertTrue(arrived.stream().allMatch(id -> id.startsWith("other")), arrived::toString);
  }

  /** Serves one request on each connection, one connection after another. */
  private void accept(ServerSocket server) {
    while (!server.isClosed()) {
      try (Socket socket = server.accept()) {
        arrived.add(Peers.read(socket.getInputStream()).header("Request-Id"));
        Peers.write(socket.getOutputStream(), Peers.OK);
      } catch (IOException e) {
        // The connection filled the queue or was abandoned.
      }
    }
  }
}
