package willowdoor.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.front.Peers.Client;
import willowdoor.front.loop.Descriptors;

/**
 * Tests how the front door closes clients' connections while bytes from the client are in transit.
 */
@Timeout(30)
class ConnectionCloseTest {

  /** More than one read takes, so that some bytes are unread when the connection ends. */
  private static final String HALF_A_LINE = "GET /" + "x".repeat(10_000);

  private static final String UP = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
  private static final int SOCKETS = 128;

  private final Peers peers = new Peers();

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  private FrontDoor startWithFewDescriptors() throws Exception {
    return peers.start(
        peers
            .config(Peers.entry("s-1", peers.backend.getLocalPort(), "active"))
            .replace("\"settings\"", "\"limits\":{\"sockets\":" + SOCKETS + "},\"settings\""));
  }

  private static String lastRequest(String id) {
    return Peers.get(id, 3000).replace("Host:", "Connection: close\r\nHost:");
  }

  /** Opens as many connections as the limit allows, and uses each once. */
  private List<Client> fillConnections() throws IOException {
    List<Client> idle = new ArrayList<>();
    for (int i = 0; i < Descriptors.of(SOCKETS).clients(); i++) {
      idle.add(peers.client());
      assertEquals(200, idle.get(i).ask(UP).status());
    }
    return idle;
  }

  /**
   * Blocks the event loop until the returned latch is released, so that input that arrives
   * meanwhile is seen at once.
   */
  private static CountDownLatch blockLoop(FrontDoor door) throws InterruptedException {
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch resume = new CountDownLatch(1);
    door.loop()
        .execute(
            () -> {
              blocked.countDown();
              try {
                resume.await(10, TimeUnit.SECONDS);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    assertTrue(blocked.await(10, TimeUnit.SECONDS));
    return resume;
  }

  /**
   * Closing a socket with unread bytes resets the connection, and the reset may discard the
   * response.
   */
  @Test
  void bytesAfterTheLastResponseDoNotResetTheConnection() throws Exception {
    peers.start();
    Client client = peers.client();
    assertEquals(200, client.ask(lastRequest("r1") + HALF_A_LINE).status());
    assertTrue(client.ended());
  }

  @Test
  void bytesAfterARefusalDoNotResetTheConnection() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    peers.answer =
        (request, out) -> {
          ClientDisconnectTest.await(release);
          return Peers.write(out, Peers.OK);
        };
    startWithFewDescriptors();
    for (int i = 0; i < Descriptors.of(SOCKETS).clients(); i++) {
      peers.client().send(Peers.get("r" + i, 9000));
      Peers.next(peers.atBackend);
    }
    Client tooMany = peers.client();
    assertEquals(503, tooMany.ask(Peers.get("more", 3000) + HALF_A_LINE).status());
    assertTrue(tooMany.ended());
    release.countDown();
  }

  /** Input after the last response is dropped. Peers that keep their side open are disconnected. */
  @Test
  void requestsAfterTheLastResponseAreNotForwarded() throws Exception {
    peers.start();
    Client client = peers.client();
    assertEquals(200, client.ask(lastRequest("r1")).status());
    assertTrue(client.ended());
    assertEquals("r1", Peers.next(peers.atBackend).header("Request-Id"));
    assertThrows(
        IOException.class,
        () -> {
          for (int i = 0; ; i++) {
            client.send(Peers.get("late" + i, 3000));
            TimeUnit.MILLISECONDS.sleep(10);
          }
        });
    assertEquals(200, peers.client().ask(Peers.get("r2", 3000)).status());
    assertEquals("r2", Peers.next(peers.atBackend).header("Request-Id"));
    assertNull(peers.atBackend.poll());
  }

  /** Peers that keep their side open do not take connections from other clients. */
  @Test
  void closingConnectionsMakeRoomForNewOnes() throws Exception {
    startWithFewDescriptors();
    for (int i = 0; i < 4 * SOCKETS; i++) {
      Client client = peers.client();
      assertEquals(200, client.ask(lastRequest("r" + i)).status());
      assertTrue(client.ended());
    }
  }

  /** The request has arrived but is unread when its connection is chosen for eviction. */
  @Test
  void requestThatArrivedBeforeTheEvictionIsServed() throws Exception {
    FrontDoor door = startWithFewDescriptors();
    List<Client> idle = fillConnections();
    CountDownLatch resume = blockLoop(door);
    Client another = peers.client();
    idle.get(0).send(Peers.get("crossing", 3000));
    resume.countDown();
    assertEquals(200, idle.get(0).receive().status());
    assertEquals(200, another.ask(Peers.get("another", 3000)).status());
    assertTrue(idle.get(1).ended());
  }

  /**
   * A part of a request has arrived when its connection is chosen for eviction; the rest may still
   * arrive.
   */
  @Test
  void partialRequestThatArrivedBeforeTheEvictionIsCompleted() throws Exception {
    FrontDoor door = startWithFewDescriptors();
    List<Client> idle = fillConnections();
    String request = Peers.get("crossing", 3000);
    CountDownLatch resume = blockLoop(door);
    Client another = peers.client();
    idle.get(0).send(request.substring(0, 20));
    resume.countDown();
    assertEquals(200, another.ask(Peers.get("another", 3000)).status());
    idle.get(0).send(request.substring(20));
    assertEquals(200, idle.get(0).receive().status());
    assertTrue(idle.get(1).ended());
  }

  /**
   * The later requests have arrived before the response to the first one would end the connection.
   */
  @Test
  void pipelinedRequestsAreAnsweredDuringADrain() throws Exception {
    FrontDoor door = peers.start();
    CountDownLatch release = new CountDownLatch(1);
    peers.answer =
        (request, out) -> {
          ClientDisconnectTest.await(release);
          return Peers.write(out, Peers.OK);
        };
    Client client = peers.client();
    client.send(Peers.get("r1", 3000) + Peers.get("r2", 3000) + Peers.get("r3", 3000));
    Peers.next(peers.atBackend);
    Thread end = new Thread(door::shutDown);
    end.start();
    release.countDown();
    for (int i = 0; i < 3; i++) {
      assertEquals(200, client.receive().status());
    }
    assertTrue(client.ended());
    end.join(10_000);
    assertTrue(!end.isAlive());
  }

  /**
   * The time limit for a partial request also applies if the request begins while another one is
   * answered.
   */
  @Test
  void partialPipelinedRequestTimesOut() throws Exception {
    peers.start();
    Client client = peers.client();
    assertEquals(200, client.ask(Peers.get("r1", 3000) + "GET /quote").status());
    assertEquals(408, client.receive().status());
    assertTrue(client.ended());
  }
}
