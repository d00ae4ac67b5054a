package willowdoor.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the whole front door with a connect that completes only when its request must not be sent
 * any more.
 */
@Timeout(value = 40, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SlowConnectTest {

  private static final String FAILED =
      "HTTP/1.1 500 Oops\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

  private final Peers peers = new Peers();
  private final List<Socket> accepted = new ArrayList<>();

  @AfterEach
  void close() throws IOException {
    for (Socket s : accepted) {
      s.close();
    }
    peers.close();
  }

  private Socket accept(ServerSocket server) throws IOException {
    Socket socket = server.accept();
    socket.setSoTimeout(10_000);
    accepted.add(socket);
    return socket;
  }

  /**
   * The connect for a retry completes only after the retry's time window. The retry is not sent,
   * and its client gets an answer.
   */
  @ParameterizedTest
  @CsvSource({
    "all, 300, 3000",
    "cell, 300, 3000",
    "all, 200, 300",
    "all, 0, 3000",
    "zone, 0, 3000"
  })
  void retryDelayedByItsConnectIsNotSent(String group, int window, int deadline) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      server.setSoTimeout(10_000);
      peers.start(
          peers
              .config(Peers.entry("s-1", server.getLocalPort(), "active"))
              .replace("\"Group\":\"all\",\n", "\"Group\":\"" + group + "\",\n")
              .replace("\"RepeatWindowMs\":4000", "\"RepeatWindowMs\":" + window)
              .replace("\"DialTimeoutMs\":250", "\"DialTimeoutMs\":2500"));
      Peers.Client client = peers.client();
      long from = System.nanoTime();
      client.send(Peers.post("r1", "body").replace("Timeout-Ms: 3000", "Timeout-Ms: " + deadline));
      Socket first = accept(server);
      InputStream in = first.getInputStream();
      assertEquals("body", Peers.read(in).text());
      List<SocketChannel> queue = Peers.fill(server);
      Peers.write(first.getOutputStream(), FAILED);
      int status = client.receive().status();
      // A refusal promises that another try is harmless. Only the group of all gateways and an open
      // window permit that promise.
      assertTrue(
          status == 502 || status == 503 && group.equals("all") && window > 0,
          "answered " + status);
      long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
      assertTrue(tookMs < 1_000, "answered after " + tookMs + " ms");
      for (SocketChannel c : queue) {
        c.close();
      }
      assertNothingArrives("r1", server);
    }
  }

  /** Neither a first attempt nor a retry begins for a client that has disconnected. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void nothingIsSentForADisconnectedClient(boolean retry) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      server.setSoTimeout(10_000);
      FrontDoor door =
          peers.start(
              peers
                  .config(Peers.entry("s-1", server.getLocalPort(), "active"))
                  .replace("\"DialTimeoutMs\":250", "\"DialTimeoutMs\":2500"));
      List<SocketChannel> queue = retry ? List.of() : Peers.fill(server);
      Peers.Client client = peers.client();
      client.send(Peers.post("r1", "body"));
      if (retry) {
        Socket first = accept(server);
        assertEquals("body", Peers.read(first.getInputStream()).text());
        queue = Peers.fill(server);
        Peers.write(first.getOutputStream(), FAILED);
      }
      Thread.sleep(
          200); // the connect is in progress, and TCP sends its first packet again only after 1 s
      client.close();
      door.loop().submit(() -> {}).sync();
      for (SocketChannel c : queue) {
        c.close();
      }
      assertNothingArrives("r1", server);
    }
  }

  /**
   * Asserts that nothing with this id arrives, for long enough that TCP's retry of the connect's
   * first packet after 1 s would deliver it.
   */
  private void assertNothingArrives(String id, ServerSocket server) throws IOException {
    server.setSoTimeout(1_500);
    for (String received = nextBytes(server); received != null; received = nextBytes(server)) {
      assertFalse(received.contains(id), received);
    }
  }

  /** The bytes that arrive on the next connection, or null if there is none. */
  private String nextBytes(ServerSocket server) throws IOException {
    try {
      Socket socket = accept(server);
      socket.setSoTimeout(300);
      byte[] bytes = new byte[2_000];
      int read = socket.getInputStream().read(bytes);
      return new String(bytes, 0, Math.max(0, read), StandardCharsets.ISO_8859_1);
    } catch (SocketTimeoutException e) {
      return null;
    } catch (IOException e) {
      return ""; // reset
    }
  }
}
