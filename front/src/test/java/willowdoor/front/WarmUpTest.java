package willowdoor.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The made-up requests that a process serves inside before it says ready. */
@Timeout(30)
class WarmUpTest {

  /** However slow the machine is. */
  private static final long LIMIT_MS = 20_000;

  private final Peers peers = new Peers();

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  @Test
  void isServedInsideAndReachesNobody() throws Exception {
    Config config =
        Peers.parse(peers.config(Peers.entry("s-1", peers.backend.getLocalPort(), "active")));
    assertEquals(100, FrontDoor.warmUp(config, 100, LIMIT_MS));
    assertTrue(peers.atBackend.isEmpty(), "a made-up request reached a template server");
    assertTrue(peers.atCounter.isEmpty(), "a made-up request was counted");
    assertTrue(peers.watches.isEmpty(), "discovery was asked");
  }

  @Test
  void isOverWhenItsTimeIs() throws Exception {
    assertTrue(FrontDoor.warmUp(Peers.parse(peers.config()), 1_000_000, 1) < 1_000_000);
  }

  /** Nothing of it is left in the way of the front door proper. */
  @Test
  void leavesTheFrontDoorAsItWouldBe() throws Exception {
    Config config =
        Peers.parse(peers.config(Peers.entry("s-1", peers.backend.getLocalPort(), "active")));
    FrontDoor.warmUp(config, 20, LIMIT_MS);
    peers.start();
    assertEquals(200, peers.client().ask(Peers.get("r1", 3000)).status());
    assertEquals("r1", Peers.next(peers.atBackend).header("Request-Id"));
  }
}
