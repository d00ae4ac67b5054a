package willowdoor.front;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import willowdoor.front.Peers.Client;

/**
 * A response whose body ends with the connection: an end of stream completes the body, a reset
 * never does.
 */
@Timeout(value = 40, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class BodyWithoutLengthTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

  private final Peers peers = new Peers();
  private final CountDownLatch ended = new CountDownLatch(1);

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  private void end(Socket socket, boolean reset) throws IOException {
    if (reset) {
      socket.setSoLinger(true, 0);
    }
    socket.close();
    ended.countDown();
  }

  /**
   * The first response is truncated by a reset, and the request is retried. A response that is
   * already being forwarded is truncated for the client too.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 4, 10_000, 200_000})
  void resetDoesNotCompleteTheBody(int length) throws Exception {
    for (int i = 0; i < 20; i++) {
      AtomicInteger asked = new AtomicInteger();
      int port =
          peers
              .listen(
                  50,
                  (in, out, socket) -> {
                    Peers.read(in);
                    boolean first = asked.incrementAndGet() == 1;
                    Peers.write(out, HEAD + (first ? "x".repeat(length) : "whole"));
                    end(socket, first);
                  })
              .getLocalPort();
      peers.start(peers.config(Peers.entry("s-1", port, "active")));
      Client client = peers.client();
      client.send(Peers.get("r" + i, 3_000));
      try {
        assertTrue(client.receive().text().equals("whole"), "a cut answer was taken for whole");
      } catch (IOException e) {
        assertTrue(length > 64 * 1024, "only what is passed on as it comes may be cut");
      }
    }
  }

  /** The client reads nothing meanwhile, so the gateway has stopped reading the response. */
  @Test
  void resetDoesNotCompleteAResponseThatTheClientDoesNotRead() throws Exception {
    AtomicInteger sent = new AtomicInteger();
    int port =
        peers
            .listen(
                50,
                (in, out, socket) -> {
                  Peers.read(in);
                  Peers.write(out, HEAD);
                  byte[] piece = new byte[64 * 1024];
                  Thread stop = new Thread(() -> resetOnceWritesStall(sent, socket));
                  stop.start();
                  try {
                    while (true) {
                      out.write(piece);
                      sent.addAndGet(piece.length);
                    }
                  } catch (IOException e) {
                    return; // closed by the other thread
                  }
                })
            .getLocalPort();
    peers.start(peers.config(Peers.entry("s-1", port, "active")));
    Client client = peers.client();
    client.send(Peers.get("r1", 3_000));
    assertTrue(ended.await(20, TimeUnit.SECONDS));
    assertThrows(
        IOException.class,
        () -> {
          client.receive();
          throw new AssertionError("taken for whole");
        });
  }

  /** Resets the connection in the middle of a write that the gateway does not read. */
  private void resetOnceWritesStall(AtomicInteger sent, Socket socket) {
    try {
      for (int before = -1; before != sent.get(); ) {
        before = sent.get();
        Thread.sleep(300);
      }
      end(socket, true);
    } catch (IOException | InterruptedException e) {
      throw new AssertionError(e);
    }
  }
}
