package willowdoor.front;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.front.Peers.Client;

/** Tests the response times that the policy gets. */
@Timeout(30)
class ResponseLatencyTest {

  private final Peers peers = new Peers();

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  /**
   * A body that arrives slowly is no sign of load: the expected wait is measured up to the
   * response's head. Guards against refusals for load that the backend does not have.
   */
  @Test
  void slowResponseBodiesDoNotRaisePressure() throws Exception {
    CountDownLatch never = new CountDownLatch(1);
    peers.answer =
        (request, out) -> {
          Peers.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfi");
          try {
            assertTrue(!never.await(700, TimeUnit.MILLISECONDS));
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          return Peers.write(out, "ne");
        };
    FrontDoor door = peers.start();
    Client client = peers.client();
    for (int i = 0; i < 3; i++) {
      assertTrue(client.ask(Peers.get("r" + i, 3000)).status() == 200);
    }
    String pressure = door.figures().replaceAll(".*pressure=([0-9.]+).*", "$1");
    assertTrue(Double.parseDouble(pressure) < 0.2, door.figures());
  }
}
