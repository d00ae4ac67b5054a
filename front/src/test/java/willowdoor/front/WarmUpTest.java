package willowdoor.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The synthetic requests that a process serves internally before it reports ready. */
@Timeout(30)
class WarmUpTest {

  /** Enough for a slow machine. */
  private static final long LIMIT_MS = 20_000;

  private final Peers peers = new Peers();

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  @Test
  void warmUpIsServedInsideTheProcessOnly() throws Exception {
    Config config =
        Peers.parse(peers.config(Peers.entry("s-1", peers.backend.getLocalPort(), "active")));
    assertEquals(100, FrontDoor.warmUp(config, 100, LIMIT_MS));
    assertTrue(peers.atBackend.isEmpty(), "a made-up request reached a template server");
    assertTrue(peers.atCounter.isEmpty(), "a made-up request was counted");
    assertTrue(peers.watches.isEmpty(), "discovery was asked");
  }

  @Test
  void warmUpEndsAtItsTimeLimit() throws Exception {
    assertTrue(FrontDoor.warmUp(Peers.parse(peers.config()), 1_000_000, 1) < 1_000_000);
  }

  /** The warm-up leaves nothing behind that affects the gateway started afterwards. */
  @Test
  void warmUpDoesNotAffectTheGatewayStartedAfterwards() throws Exception {
    Config config =
        Peers.parse(peers.config(Peers.entry("s-1", peers.backend.getLocalPort(), "active")));
    FrontDoor.warmUp(config, 20, LIMIT_MS);
    peers.start();
    assertEquals(200, peers.client().ask(Peers.get("r1", 3000)).status());
    assertEquals("r1", Peers.next(peers.atBackend).header("Request-Id"));
  }
}
