package willowdoor.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.front.Peers.Client;
import willowdoor.front.loop.Descriptors;

/** Clients that send their requests slowly. */
@Timeout(30)
class SlowClientTest {

  private final Peers peers = new Peers();

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  /**
   * A silent peer and one that sends a few bytes at a time get an error, and hold no descriptor for
   * long.
   */
  @Test
  void peersWithoutACompleteRequestTimeOut() throws Exception {
    peers.start();
    Client used = peers.client();
    assertEquals(200, used.ask(Peers.get("r1", 3000)).status());
    Client silent = peers.client();
    Client trickling = peers.client();
    trickling.send("GET /quote/17 HTTP/1.1\r\n");
    for (int i = 0; trickling.socket.getInputStream().available() == 0; i++) {
      trickling.send("X-" + i + ": slow\r\n");
      TimeUnit.MILLISECONDS.sleep(20);
    }
    assertEquals(408, trickling.receive().status());
    assertEquals(408, silent.receive().status());
    assertTrue(silent.ended());
    used.send("GET /quote/17 HTTP/1.1\r\n");
    assertEquals(408, used.receive().status());
    assertTrue(used.ended());
  }

  /** Many silent peers do not cause the eviction of connections that have been used. */
  @Test
  void silentPeersAreEvictedBeforeUsedConnections() throws Exception {
    peers.start(
        peers
            .config(Peers.entry("s-1", peers.backend.getLocalPort(), "active"))
            .replace("\"settings\"", "\"limits\":{\"sockets\":128},\"settings\""));
    Client used = peers.client();
    assertEquals(200, used.ask(Peers.get("r0", 3000)).status());
    Client silent = peers.client();
    for (int i = 2; i < Descriptors.of(128).clients(); i++) {
      peers.client();
    }
    pause(600);
    assertEquals(200, peers.client().ask(Peers.get("r1", 3000)).status());
    assertTrue(silent.ended());
    assertEquals(200, used.ask(Peers.get("r2", 3000)).status());
  }

  /**
   * The time limit for sending a request does not apply to its response or to the idle time after
   * it.
   */
  @Test
  void completeRequestMayTakeLongerThanTheReceiveTimeout() throws Exception {
    peers.start(
        peers
            .config(Peers.entry("s-1", peers.backend.getLocalPort(), "active"))
            .replace("\"AimMs\":1500", "\"AimMs\":9000"));
    peers.answer =
        (request, out) -> {
          pause(2_700);
          return Peers.write(out, Peers.OK);
        };
    Client client = peers.client();
    assertEquals(200, client.ask(Peers.get("r1", 9000)).status());
    pause(2_700);
    assertEquals(200, client.ask(Peers.get("r2", 9000)).status());
  }

  private static void pause(long ms) throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }
}
