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

/** How the front door ends clients' connections, with bytes that cross the end. */
@Timeout(30)
class ClientEndTest {

  /** More than is read at once: some of it is still unread when the connection ends. */
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

  private static String last(String id) {
    return Peers.get(id, 3000).replace("Host:", "Connection: close\r\nHost:");
  }

  /** Clients with a connection each, which has been used once: as many as there may be. */
  private List<Client> fill() throws IOException {
    List<Client> idle = new ArrayList<>();
    for (int i = 0; i < Descriptors.of(SOCKETS).clients(); i++) {
      idle.add(peers.client());
      assertEquals(200, idle.get(i).ask(UP).status());
    }
    return idle;
  }

  /** Holds the loop until the latch is down, so that what comes meanwhile comes at once. */
  private static CountDownLatch hold(FrontDoor door) throws InterruptedException {
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch on = new CountDownLatch(1);
    door.loop()
        .execute(
            () -> {
              held.countDown();
              try {
                on.await(10, TimeUnit.SECONDS);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    assertTrue(held.await(10, TimeUnit.SECONDS));
    return on;
  }

  /** A close over unread bytes is a reset, which may take the answer with it. */
  @Test
  void bytesBehindTheLastAnswerDoNotResetTheConnection() throws Exception {
    peers.start();
    Client client = peers.client();
    assertEquals(200, client.ask(last("r1") + HALF_A_LINE).status());
    assertTrue(client.ended());
  }

  @Test
  void bytesBehindARefusalDoNotResetTheConnection() throws Exception {
    CountDownLatch told = new CountDownLatch(1);
    peers.answer =
        (request, out) -> {
          ClientLeavesTest.await(told);
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
    told.countDown();
  }

  /**
   * What is written behind the last answer is dropped; peers that keep their side open are cut off.
   */
  @Test
  void whatComesBehindTheLastAnswerIsNotSentOn() throws Exception {
    peers.start();
    Client client = peers.client();
    assertEquals(200, client.ask(last("r1")).status());
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

  /** Peers that keep their side open cost no other client its connection. */
  @Test
  void connectionsThatAreBeingClosedGiveWay() throws Exception {
    startWithFewDescriptors();
    for (int i = 0; i < 4 * SOCKETS; i++) {
      Client client = peers.client();
      assertEquals(200, client.ask(last("r" + i)).status());
      assertTrue(client.ended());
    }
  }

  /** The request is there when its connection is chosen to make room, and has not been read. */
  @Test
  void aRequestThatCameBeforeTheEvictionIsServed() throws Exception {
    FrontDoor door = startWithFewDescriptors();
    List<Client> idle = fill();
    CountDownLatch on = hold(door);
    Client another = peers.client();
    idle.get(0).send(Peers.get("crossing", 3000));
    on.countDown();
    assertEquals(200, idle.get(0).receive().status());
    assertEquals(200, another.ask(Peers.get("another", 3000)).status());
    assertTrue(idle.get(1).ended());
  }

  /** Likewise a part of one: its rest may come. */
  @Test
  void aPartOfARequestThatCameBeforeTheEvictionIsReadOn() throws Exception {
    FrontDoor door = startWithFewDescriptors();
    List<Client> idle = fill();
    String request = Peers.get("crossing", 3000);
    CountDownLatch on = hold(door);
    Client another = peers.client();
    idle.get(0).send(request.substring(0, 20));
    on.countDown();
    assertEquals(200, another.ask(Peers.get("another", 3000)).status());
    idle.get(0).send(request.substring(20));
    assertEquals(200, idle.get(0).receive().status());
    assertTrue(idle.get(1).ended());
  }

  /** The second has come by the time at which the first one's answer would end the connection. */
  @Test
  void aRequestBehindAnotherIsAnsweredThoughTheFrontDoorDrains() throws Exception {
    FrontDoor door = peers.start();
    CountDownLatch told = new CountDownLatch(1);
    peers.answer =
        (request, out) -> {
          ClientLeavesTest.await(told);
          return Peers.write(out, Peers.OK);
        };
    Client client = peers.client();
    client.send(Peers.get("r1", 3000) + Peers.get("r2", 3000) + Peers.get("r3", 3000));
    Peers.next(peers.atBackend);
    Thread end = new Thread(door::shutDown);
    end.start();
    told.countDown();
    for (int i = 0; i < 3; i++) {
      assertEquals(200, client.receive().status());
    }
    assertTrue(client.ended());
    end.join(10_000);
    assertTrue(!end.isAlive());
  }

  /** The rest of a request that begins behind another one's answer has its time to come, too. */
  @Test
  void halfARequestBehindAnotherIsEndedInTime() throws Exception {
    peers.start();
    Client client = peers.client();
    assertEquals(200, client.ask(Peers.get("r1", 3000) + "GET /quote").status());
    assertEquals(408, client.receive().status());
    assertTrue(client.ended());
  }
}
