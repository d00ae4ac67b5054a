package willowdoor.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import willowdoor.front.Peers.Client;
import willowdoor.front.Peers.Message;

/** Tests the timeout that a request declares and the timeout that is sent to the backend. */
@Timeout(30)
class RequestTimeoutTest {

  private static final String TIMEOUT_LINE = "Request-Timeout-Ms: 3000\r\n";

  private final Peers peers = new Peers();

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  /**
   * The error does not wait for a body that may never arrive, and nothing of the request is
   * forwarded.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "Request-Timeout-Ms:\r\n",
        "Request-Timeout-Ms: 0\r\n",
        "Request-Timeout-Ms: -5\r\n",
        "Request-Timeout-Ms: +5\r\n",
        "Request-Timeout-Ms: 12.5\r\n",
        "Request-Timeout-Ms: 1e3\r\n",
        "Request-Timeout-Ms: soon\r\n",
        "Request-Timeout-Ms: 3000, 3000\r\n",
        TIMEOUT_LINE + TIMEOUT_LINE,
        TIMEOUT_LINE + "request-timeout-ms: 9\r\n"
      })
  void invalidTimeoutIsRejectedAtOnce(String timeout) throws Exception {
    peers.start();
    Client client = peers.client();
    client.send(
        Peers.post("r1", "")
            .replace(TIMEOUT_LINE, timeout)
            .replace("Content-Length: 0", "Content-Length: 9"));
    assertEquals(400, client.receive().status());
    client.send("the body.");
    assertEquals(200, client.ask(Peers.get("r2", 3000)).status());
    assertEquals("r2", Peers.next(peers.atBackend).header("Request-Id"));
    assertNull(peers.atBackend.poll());
  }

  /** A client cannot have a longer timeout than its class allows. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "4001",
        "3600000",
        "9223372036854775807",
        "99999999999999999999999999999999999999"
      })
  void timeoutAboveThatOfTheClassIsCapped(String timeout) throws Exception {
    peers.start();
    Client client = peers.client();
    assertEquals(
        200,
        client
            .ask(
                Peers.get("r1", 3000)
                    .replace(TIMEOUT_LINE, "Request-Timeout-Ms: " + timeout + "\r\n"))
            .status());
    int sentTimeoutMs = Integer.parseInt(Peers.next(peers.atBackend).header("Request-Timeout-Ms"));
    assertTrue(sentTimeoutMs > 0 && sentTimeoutMs <= 4000, "sentTimeoutMs: " + sentTimeoutMs);
  }

  /** The time that the connect took is subtracted from the timeout that is sent to the backend. */
  @Test
  void backendGetsTheTimeLeftWhenTheRequestIsWritten() throws Exception {
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      List<SocketChannel> fill = Peers.fill(full);
      peers.start(
          peers
              .config(Peers.entry("s-1", full.getLocalPort(), "active"))
              .replace("\"DialTimeoutMs\":250", "\"DialTimeoutMs\":9000")
              .replace("\"AimMs\":1500", "\"AimMs\":9000")
              .replace("\"DeadlineMs\":4000", "\"DeadlineMs\":20000"));
      peers.client().send(Peers.get("r1", 15_000));
      Peers.next(peers.atCounter);
      TimeUnit.MILLISECONDS.sleep(300);
      for (SocketChannel c : fill) {
        c.close();
      }
      Message sent = null;
      while (sent == null) {
        Socket socket = full.accept();
        sent = read(socket);
      }
      int sentTimeoutMs = Integer.parseInt(sent.header("Request-Timeout-Ms"));
      assertTrue(sentTimeoutMs <= 15_000 - 300, "sentTimeoutMs: " + sentTimeoutMs);
    }
  }

  /** A request's time also runs while the request waits in the socket of a paused front door. */
  @Test
  void timeOfALoopPauseCountsAgainstTheTimeout() throws Exception {
    FrontDoor door = peers.start();
    Client used = peers.client();
    assertEquals(200, used.ask(Peers.get("r0", 3000)).status());
    Peers.next(peers.atBackend);
    CountDownLatch paused = new CountDownLatch(1);
    CountDownLatch sent = new CountDownLatch(1);
    door.loop()
        .execute(
            () -> {
              paused.countDown();
              try {
                sent.await();
                TimeUnit.MILLISECONDS.sleep(400);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    paused.await();
    Client fresh = peers.client();
    used.send(Peers.get("r1", 400));
    fresh.send(Peers.get("r2", 3000));
    sent.countDown();
    assertEquals(503, used.receive().status());
    assertEquals(200, fresh.receive().status());
    Message forwarded = Peers.next(peers.atBackend);
    assertEquals("r2", forwarded.header("Request-Id"));
    int sentTimeoutMs = Integer.parseInt(forwarded.header("Request-Timeout-Ms"));
    assertTrue(sentTimeoutMs <= 3000 - 400, "sentTimeoutMs: " + sentTimeoutMs);
    assertNull(peers.atBackend.poll());
  }

  /**
   * Reads the request from the connection. Returns null if the connection is one of those that
   * filled the queue.
   */
  private static Message read(Socket socket) {
    try (socket) {
      return Peers.read(socket.getInputStream());
    } catch (IOException e) {
      return null;
    }
  }
}
