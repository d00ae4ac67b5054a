package willowdoor.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.front.Peers.Client;

/** The process stands still while a request and then a change of the list come. */
@Timeout(value = 40, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ProcessPauseTest {

  private final Peers peers = new Peers();

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  /** The request is read first, and the drain that was told meanwhile still binds it. */
  @Test
  void aDrainThatCameInThePauseIsReadBeforeAnythingIsSent() throws Exception {
    // Without a call to the counter a request is sent as it is read.
    FrontDoor door =
        peers.start(
            peers
                .config(Peers.entry("s-1", peers.backend.getLocalPort(), "active"))
                .replace("\"Counter\":true", "\"Counter\":false"));
    Peers.next(peers.watches);
    Client client = peers.client();
    assertEquals(200, client.ask(Peers.get("r0", 3_000)).status());
    Peers.next(peers.atBackend);
    CountDownLatch stands = new CountDownLatch(1);
    CountDownLatch goesOn = new CountDownLatch(1);
    door.loop()
        .execute(
            () -> {
              stands.countDown();
              try {
                goesOn.await();
              } catch (InterruptedException e) {
                throw new AssertionError(e);
              }
            });
    stands.await();
    client.send(Peers.get("r1", 3_000));
    peers.tell(
        Peers.list(8, false, Peers.entry("s-1", peers.backend.getLocalPort(), "leaving")) + "\n");
    Thread.sleep(1_100); // longer than the grace
    goesOn.countDown();
    assertEquals(503, client.receive().status());
    assertNull(peers.atBackend.poll());
  }
}
