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

/** Clients that take their time over a request. */
@Timeout(30)
class SlowClientTest {

  private final Peers peers = new Peers();

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  /** A silent peer and one whose bytes trickle are told so, and hold no descriptor for long. */
  @Test
  void peersWithoutAWholeRequestAreEndedInTime() throws Exception {
    peers.start();
    Client kept = peers.client();
    assertEquals(200, kept.ask(Peers.get("r1", 3000)).status());
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
    kept.send("GET /quote/17 HTTP/1.1\r\n");
    assertEquals(408, kept.receive().status());
    assertTrue(kept.ended());
  }

  /** A flood of silent peers does not cost proper clients their connections. */
  @Test
  void silentPeersGiveWayBeforeKeptConnections() throws Exception {
    peers.start(
        peers
            .config(Peers.entry("s-1", peers.backend.getLocalPort(), "active"))
            .replace("\"settings\"", "\"limits\":{\"sockets\":128},\"settings\""));
    Client kept = peers.client();
    assertEquals(200, kept.ask(Peers.get("r0", 3000)).status());
    Client silent = peers.client();
    for (int i = 2; i < Descriptors.of(128).clients(); i++) {
      peers.client();
    }
    pause(600);
    assertEquals(200, peers.client().ask(Peers.get("r1", 3000)).status());
    assertTrue(silent.ended());
    assertEquals(200, kept.ask(Peers.get("r2", 3000)).status());
  }

  /** The time to send a request is not the time to answer it, and ends with the request. */
  @Test
  void aRequestThatIsWholeMayTakeLongerThanItsSending() throws Exception {
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
