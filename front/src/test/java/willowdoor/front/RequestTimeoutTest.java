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

/** What a request tells of its time, and what a backend is told of it. */
@Timeout(30)
class RequestTimeoutTest {

  private static final String TIME = "Request-Timeout-Ms: 3000\r\n";

  private final Peers peers = new Peers();

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  /**
   * The answer does not wait for a body that may never come, and nothing of the request is sent on.
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
        TIME + TIME,
        TIME + "request-timeout-ms: 9\r\n"
      })
  void aTimeThatIsNoneIsToldAtOnce(String time) throws Exception {
    peers.start();
    Client client = peers.client();
    client.send(
        Peers.post("r1", "").replace(TIME, time).replace("Content-Length: 0", "Content-Length: 9"));
    assertEquals(400, client.receive().status());
    client.send("the body.");
    assertEquals(200, client.ask(Peers.get("r2", 3000)).status());
    assertEquals("r2", Peers.next(peers.atBackend).header("Request-Id"));
    assertNull(peers.atBackend.poll());
  }

  /** No client waits longer than its class allows, however much it asks for. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "4001",
        "3600000",
        "9223372036854775807",
        "99999999999999999999999999999999999999"
      })
  void aTimeBeyondThatOfTheClassIsCutToIt(String time) throws Exception {
    peers.start();
    Client client = peers.client();
    assertEquals(
        200,
        client
            .ask(Peers.get("r1", 3000).replace(TIME, "Request-Timeout-Ms: " + time + "\r\n"))
            .status());
    int told = Integer.parseInt(Peers.next(peers.atBackend).header("Request-Timeout-Ms"));
    assertTrue(told > 0 && told <= 4000, "told: " + told);
  }

  /** Time that went by while the connection came up is not given to the backend a second time. */
  @Test
  void aBackendIsToldWhatIsLeftWhenTheRequestIsWritten() throws Exception {
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
      int told = Integer.parseInt(sent.header("Request-Timeout-Ms"));
      assertTrue(told <= 15_000 - 300, "told: " + told);
    }
  }

  /**
   * A client's time runs while its request waits in the socket of a front door that stands still.
   */
  @Test
  void theTimeInWhichTheLoopStoodStillIsNotGivenAgain() throws Exception {
    FrontDoor door = peers.start();
    Client kept = peers.client();
    assertEquals(200, kept.ask(Peers.get("r0", 3000)).status());
    Peers.next(peers.atBackend);
    CountDownLatch stands = new CountDownLatch(1);
    CountDownLatch sent = new CountDownLatch(1);
    door.loop()
        .execute(
            () -> {
              stands.countDown();
              try {
                sent.await();
                TimeUnit.MILLISECONDS.sleep(400);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    stands.await();
    Client fresh = peers.client();
    kept.send(Peers.get("r1", 400));
    fresh.send(Peers.get("r2", 3000));
    sent.countDown();
    assertEquals(503, kept.receive().status());
    assertEquals(200, fresh.receive().status());
    Message onward = Peers.next(peers.atBackend);
    assertEquals("r2", onward.header("Request-Id"));
    int told = Integer.parseInt(onward.header("Request-Timeout-Ms"));
    assertTrue(told <= 3000 - 400, "told: " + told);
    assertNull(peers.atBackend.poll());
  }

  /** The request that comes over it, or null: one of those that filled the queue. */
  private static Message read(Socket socket) {
    try (socket) {
      return Peers.read(socket.getInputStream());
    } catch (IOException e) {
      return null;
    }
  }
}
