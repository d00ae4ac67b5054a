package willowdoor.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.front.Peers.Client;

/** The process pauses while a request and then a change of the backend list arrive. */
@Timeout(value = 40, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ProcessPauseTest {

  private final Peers peers = new Peers();

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  /**
   * The request is read before the list, but the drain that arrived during the pause must apply to
   * it.
   */
  @Test
  void drainThatArrivedDuringAPauseAppliesBeforeAnythingIsSent() throws Exception {
    // Without a call to the counter, a request is sent in the same pass that reads it.
    FrontDoor door =
        peers.start(
            peers
                .config(Peers.entry("s-1", peers.backend.getLocalPort(), "active"))
                .replace("\"Counter\":true", "\"Counter\":false"));
    Peers.next(peers.watches);
    Client client = peers.client();
    assertEquals(200, client.ask(Peers.get("r0", 3_000)).status());
    Peers.next(peers.atBackend);
    CountDownLatch paused = new CountDownLatch(1);
    CountDownLatch resume = new CountDownLatch(1);
    door.loop()
        .execute(
            () -> {
              paused.countDown();
              try {
                resume.await();
              } catch (InterruptedException e) {
                throw new AssertionError(e);
              }
            });
    paused.await();
    client.send(Peers.get("r1", 3_000));
    peers.tell(
        Peers.list(8, false, Peers.entry("s-1", peers.backend.getLocalPort(), "leaving")) + "\n");
    Thread.sleep(1_100); // longer than the grace period
    resume.countDown();
    assertEquals(503, client.receive().status());
    assertNull(peers.atBackend.poll());
  }
}
