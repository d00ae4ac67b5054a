package willowdoor.front;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.front.Peers.Client;
import willowdoor.front.Peers.Message;

/** Requests and responses of all sizes and framings. */
@Timeout(value = 40, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class StreamingTest {

  private static final int LARGE = 8 << 20;

  private final Peers peers = new Peers();

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  private static byte[] bytes(int length) {
    byte[] bytes = new byte[length];
    new Random(7).nextBytes(bytes);
    return bytes;
  }

  private static String chunked(String request) {
    return request.replaceFirst("Content-Length: \\d+", "Transfer-Encoding: chunked");
  }

  @Test
  void largeBodiesPassBothWaysUnchanged() throws Exception {
    peers.start();
    byte[] body = bytes(LARGE);
    peers.answer =
        (request, out) -> {
          Peers.write(
              out, "HTTP/1.1 200 OK\r\nContent-Length: " + request.body().length + "\r\n\r\n");
          out.write(request.body());
          return true;
        };
    Client client = peers.client();
    for (int i = 0; i < 2; i++) {
      client.send(Peers.post("r" + i, "").replace("Content-Length: 0", "Content-Length: " + LARGE));
      client.socket.getOutputStream().write(body);
      assertArrayEquals(body, client.receive().body());
    }
    assertEquals(200, client.ask(Peers.get("small", 3000)).status());
  }

  /** A response is read no faster than its client reads it, so the backend's writes block. */
  @Test
  void responseThatIsNotReadPutsBackPressureOnTheBackend() throws Exception {
    peers.start();
    AtomicLong written = new AtomicLong();
    byte[] part = bytes(1 << 20);
    peers.answer =
        (request, out) -> {
          Peers.write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + (64L << 20) + "\r\n\r\n");
          for (int i = 0; i < 64; i++) {
            out.write(part);
            written.addAndGet(part.length);
          }
          return true;
        };
    Client slow = peers.client();
    slow.send(Peers.get("r1", 3000));
    Peers.next(peers.atBackend);
    long before = -1;
    while (before != written.get()) {
      before = written.get();
      Thread.sleep(300);
    }
    assertTrue(
        written.get() < 48L << 20,
        "bytes in transit must fit into the socket buffers: " + written.get());
    assertEquals(64 << 20, slow.receive().body().length);
  }

  /**
   * The first 64 KiB of a body are kept and can be sent again, so a refused connection does not
   * fail a large request.
   */
  @Test
  void largeRequestThatWasNotSentIsRetriedElsewhere() throws Exception {
    AtomicInteger refused = new AtomicInteger();
    int port =
        peers
            .listen(
                50,
                (in, out, socket) -> {
                  refused.incrementAndGet();
                  socket.close();
                })
            .getLocalPort();
    peers.start(
        peers.config(
            Peers.entry("s-1", peers.backend.getLocalPort(), "active"),
            Peers.entry("s-2", port, "active")));
    byte[] body = bytes(LARGE);
    Client client = peers.client();
    for (int i = 0; refused.get() == 0; i++) {
      client.send(Peers.post("r" + i, "").replace("Content-Length: 0", "Content-Length: " + LARGE));
      client.socket.getOutputStream().write(body);
      int status = client.receive().status();
      assertTrue(status == 200 || status == 503 || status == 502, "answered: " + status);
    }
  }

  /** Incomplete requests count too: the bytes kept for all clients together are bounded. */
  @Test
  void incompleteBodiesAreBoundedOverAllConnections() throws Exception {
    peers.start();
    String part = "x".repeat(60_000);
    for (int i = 0; i < (8 << 20) / part.length() + 1; i++) {
      peers
          .client()
          .send(
              Peers.post("r" + i, "").replace("Content-Length: 0", "Content-Length: 64000") + part);
    }
    int status = 200;
    for (int i = 0; status == 200 && i < 500; i++) {
      status = peers.client().ask(Peers.get("g" + i, 3000)).status();
    }
    assertEquals(503, status);
  }

  @Test
  void chunkedRequestInPiecesWithTrailersIsOneBody() throws Exception {
    peers.start();
    Client client = peers.client();
    String request =
        chunked(Peers.post("r1", "")) + "3;x=y\r\nabc\r\n5\r\ndefgh\r\n0\r\nSum: 8\r\n\r\n";
    for (int i = 0; i < request.length(); i++) {
      client.send(request.substring(i, i + 1));
    }
    assertEquals(200, client.receive().status());
    assertEquals("abcdefgh", Peers.next(peers.atBackend).text());
  }

  @Test
  void chunkedResponseWithTrailersIsServed() throws Exception {
    peers.start();
    peers.answer =
        (request, out) ->
            Peers.write(
                out,
                "HTTP/1.1 100 Continue\r\n\r\n"
                    + "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                    + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + "2\r\nfi\r\n2\r\nne\r\n0\r\nSum: 4\r\n\r\n");
    Client client = peers.client();
    for (int i = 0; i < 3; i++) {
      assertEquals("fine", client.ask(Peers.get("r" + i, 3000)).text());
    }
  }

  /**
   * A response without a length ends with the connection if the backend announces the close; a
   * reset would mean that the response is cut off.
   */
  @Test
  void responseThatEndsWithItsConnectionIsServed() throws Exception {
    peers.start();
    peers.answer =
        (request, out) -> {
          Peers.write(out, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfine");
          return false;
        };
    assertEquals("fine", peers.client().ask(Peers.get("r1", 3000)).text());
  }

  @Test
  void expect100ContinueIsAnswered() throws Exception {
    peers.start();
    Client client = peers.client();
    String request = Peers.post("r1", "body");
    client.send(
        request
            .replace("Host:", "Expect: 100-continue\r\nHost:")
            .replace("\r\n\r\nbody", "\r\n\r\n"));
    assertEquals(100, client.receive().status());
    assertEquals(200, client.ask("body").status());
    assertEquals("body", Peers.next(peers.atBackend).text());
    client.send(request.replace("Host:", "Expect: wonders\r\nHost:"));
    assertEquals(417, client.receive().status());
  }

  @Test
  void absoluteFormIsForwardedInOriginForm() throws Exception {
    peers.start();
    Client client = peers.client();
    assertEquals(
        200,
        client
            .ask(Peers.get("r1", 3000).replace("GET /", "GET HTTP://backend.local:80/"))
            .status());
    assertEquals("GET /quote/17?a=%20b&c HTTP/1.1", Peers.next(peers.atBackend).firstLine());
    assertEquals(200, client.ask("GET http://x/up HTTP/1.1\r\nHost: x\r\n\r\n").status());
  }

  @Test
  void ambiguousFramingIsRefused() throws Exception {
    peers.start();
    String post = Peers.post("r1", "abcd");
    for (String ambiguous :
        new String[] {
          post.replace("Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked"),
          post.replace("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 2"),
          post.replace("Content-Length: 4", "Content-Length: 4, 4"),
          post.replace("Content-Length: 4", "Content-Length: -4"),
          post.replace("Content-Length: 4", "Transfer-Encoding: gzip, chunked")
        }) {
      Client client = peers.client();
      int status = client.ask(ambiguous).status();
      assertTrue(status == 400 || status == 501, ambiguous);
      assertTrue(client.ended());
    }
    assertNull(peers.atBackend.poll());
  }

  /**
   * A response may arrive before the end of the request. It is forwarded, and the rest of the
   * request is dropped.
   */
  @Test
  void earlyResponseIsForwardedAndTheRestOfTheRequestDropped() throws Exception {
    int port =
        peers
            .listen(
                50,
                (in, out, socket) -> {
                  in.readNBytes(70_000);
                  Peers.write(out, Peers.OK);
                  in.transferTo(OutputStream.nullOutputStream());
                })
            .getLocalPort();
    peers.start(peers.config(Peers.entry("s-1", port, "active")));
    Client client = peers.client();
    client.send(Peers.post("r1", "").replace("Content-Length: 0", "Content-Length: " + LARGE));
    byte[] body = bytes(LARGE);
    client.socket.getOutputStream().write(body, 0, LARGE / 2);
    assertEquals("fine", client.receive().text());
    client.socket.getOutputStream().write(body, LARGE / 2, LARGE / 2);
    assertEquals(200, client.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status());
  }

  /**
   * A response that breaks off ends the client's connection, so that the client can tell whatever
   * the framing.
   */
  @Test
  void incompleteLargeResponseEndsTheConnection() throws Exception {
    peers.start();
    for (String framing : new String[] {"Content-Length: 200000", "Transfer-Encoding: chunked"}) {
      peers.answer =
          (request, out) -> {
            String piece = "x".repeat(100_000);
            Peers.write(
                out,
                "HTTP/1.1 200 OK\r\n"
                    + framing
                    + "\r\n\r\n"
                    + (framing.startsWith("T")
                        ? Integer.toHexString(100_000) + "\r\n" + piece + "\r\n"
                        : piece));
            return false;
          };
      Client client = peers.client();
      client.send(Peers.get("r-" + framing.length(), 3000));
      assertThrows(
          IOException.class,
          () -> {
            client.receive();
            throw new AssertionError("the incomplete response was taken for complete");
          });
    }
    peers.answer = (request, out) -> Peers.write(out, Peers.OK);
    assertEquals(200, peers.client().ask(Peers.get("after", 3000)).status());
  }

  /**
   * A client that disconnects within its request must not leave an unfinished request at the
   * backend.
   */
  @Test
  void clientThatDisconnectsWithinItsBodyEndsTheAttempt() throws Exception {
    BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
    int port =
        peers
            .listen(
                50,
                (in, out, socket) -> {
                  try {
                    Message request = Peers.read(in);
                    outcomes.add("whole " + request.body().length);
                  } catch (EOFException e) {
                    outcomes.add("cut");
                  }
                })
            .getLocalPort();
    peers.start(peers.config(Peers.entry("s-1", port, "active")));
    Client client = peers.client();
    client.send(Peers.post("r1", "").replace("Content-Length: 0", "Content-Length: " + LARGE));
    client.socket.getOutputStream().write(bytes(LARGE / 2));
    client.close();
    assertEquals("cut", Peers.next(outcomes));
  }
}
