package willowdoor.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import willowdoor.front.Peers.Client;
import willowdoor.front.Peers.Message;
import willowdoor.front.loop.Descriptors;

/**
 * Peers that send no proper requests: each gets an error, and no other client loses a request
 * because of them.
 */
@Timeout(30)
class MisbehavingClientTest {

  private static final int SOCKETS = 128;

  /**
   * The responses to this many requests exceed the socket buffers, while the requests fit into the
   * read-ahead buffer.
   */
  private static final int UNREAD = 300;

  private final Peers peers = new Peers();

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  private static String malformed(String kind) {
    String post = Peers.post("bad", "body");
    return switch (kind) {
      case "no request" -> "\u0016\u0003\u0001 hello\r\n\r\n";
      case "no version" -> "GET /quote/17\r\n\r\n";
      case "long line" -> "GET /" + "x".repeat(9_000) + " HTTP/1.1\r\n\r\n";
      case "long head" ->
          "GET /quote HTTP/1.1\r\n" + "X-Filler: 0123456789abcdef\r\n".repeat(700) + "\r\n";
      case "two lengths" ->
          post.replace("Content-Length: 4\r\n", "Content-Length: 4\r\nContent-Length: 5\r\n");
      case "length and chunks" ->
          post.replace(
              "Content-Length: 4\r\n", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n");
      case "negative length" -> post.replace("Content-Length: 4\r\n", "Content-Length: -4\r\n");
      case "bad chunk" ->
          post.replace("Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n")
              .replace("\r\n\r\nbody", "\r\n\r\nzz\r\nbody\r\n");
      case "unknown coding" -> post.replace("Content-Length: 4\r\n", "Transfer-Encoding: gzip\r\n");
      case "unknown expectation" ->
          post.replace("Content-Length: 4\r\n", "Content-Length: 4\r\nExpect: magic\r\n");
      case "too large" -> post.replace("Content-Length: 4\r\n", "Content-Length: 60000000\r\n");
      default -> throw new IllegalArgumentException(kind);
    };
  }

  /**
   * The error has a readable text, is complete, and is followed by the end of the connection
   * without a reset.
   */
  @ParameterizedTest
  @CsvSource({
    "no request",
    "no version",
    "long line",
    "long head",
    "two lengths",
    "length and chunks",
    "negative length",
    "bad chunk",
    "unknown coding",
    "unknown expectation",
    "too large"
  })
  void malformedRequestGetsAnErrorWhateverFollowsIt(String kind) throws Exception {
    peers.start();
    CountDownLatch release = new CountDownLatch(1);
    peers.answer =
        (request, out) -> {
          ClientDisconnectTest.await(release);
          return Peers.write(out, Peers.OK);
        };
    Client proper = peers.client();
    proper.send(Peers.get("proper", 9000));
    Peers.next(peers.atBackend);
    Client client = peers.client();
    client.send(malformed(kind) + "x".repeat(400_000));
    Message answer = client.receive();
    assertTrue(answer.status() >= 400 && answer.status() < 502, answer.head());
    assertEquals("close", answer.header("Connection"));
    assertFalse(answer.text().isBlank());
    assertTrue(client.ended());
    release.countDown();
    assertEquals(200, proper.receive().status());
    assertTrue(peers.atBackend.isEmpty());
  }

  /**
   * Peers send many bytes at once and disconnect. Neither those bytes nor the number of peers may
   * affect other clients.
   */
  @ParameterizedTest
  @CsvSource({"CLOSES", "RESETS"})
  void peersThatSendMuchAndDisconnectLeaveNothingBehind(ClientDisconnectTest.DisconnectKind kind)
      throws Exception {
    peers.start(configWithFewDescriptors());
    Client proper = peers.client();
    for (int i = 0; i < 3 * SOCKETS; i++) {
      Client client = peers.client();
      client.send("x".repeat(100_000));
      kind.disconnect(client);
    }
    assertEquals(200, proper.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status());
    assertEquals(200, peers.client().ask(Peers.get("r1", 3000)).status());
  }

  private String configWithFewDescriptors() {
    return peers
        .config(Peers.entry("s-1", peers.backend.getLocalPort(), "active"))
        .replace("\"settings\"", "\"limits\":{\"sockets\":" + SOCKETS + "},\"settings\"");
  }

  /**
   * A head that arrives byte by byte is served like any other. At the connection limit, connections
   * with partial heads are evicted in favour of a complete request.
   */
  @Test
  void peersThatSendByteByByteDoNotBlockOtherRequests() throws Exception {
    peers.start(configWithFewDescriptors());
    String request = Peers.get("slow", 3000);
    List<Client> trickling = new ArrayList<>();
    for (int i = 0; i < 2 * Descriptors.of(SOCKETS).clients(); i++) {
      trickling.add(peers.client());
      trickling.get(i).send(request.substring(0, 1));
    }
    assertEquals(200, peers.client().ask(Peers.get("r1", 3000)).status());
    Client last = peers.client();
    for (int i = 0; i < request.length(); i++) {
      last.send(request.substring(i, i + 1));
    }
    assertEquals(200, last.receive().status());
    for (Client c : trickling) {
      assertTrue(gotTimeoutOrClose(c));
    }
  }

  private static boolean gotTimeoutOrClose(Client client) throws IOException {
    try {
      return client.receive().status() == 408 && client.ended();
    } catch (java.io.EOFException e) {
      return true;
    }
  }

  /**
   * Idle clients on all available connections are evicted for one that sends requests, again and
   * again.
   */
  @Test
  void idleClientsAreEvictedForActiveOnes() throws Exception {
    peers.start(configWithFewDescriptors());
    for (int i = 0; i < 2 * Descriptors.of(SOCKETS).clients(); i++) {
      assertEquals(200, peers.client().ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status());
    }
    Client working = peers.client();
    for (int i = 0; i < 2 * Descriptors.of(SOCKETS).clients(); i++) {
      assertEquals(200, working.ask(Peers.get("r" + i, 3000)).status());
      assertEquals(200, peers.client().ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status());
    }
  }

  /**
   * At most one response beyond the capacity of the socket buffers accumulates for a client that
   * does not read.
   */
  @Test
  void pipelinedRequestsWaitUntilResponsesAreRead() throws Exception {
    String answer = "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + "x".repeat(60_000);
    peers.answer = (request, out) -> Peers.write(out, answer);
    peers.start();
    Client client = peers.client();
    StringBuilder requests = new StringBuilder();
    for (int i = 0; i < UNREAD; i++) {
      requests.append(Peers.get("r" + i, 4000));
    }
    client.send(requests.toString());
    Peers.next(peers.atBackend);
    Client other = peers.client();
    for (int before = -1; before < peers.atBackend.size(); ) {
      before = peers.atBackend.size();
      for (int i = 0; i < 300; i++) {
        other.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
      }
    }
    assertTrue(peers.atBackend.size() < UNREAD - 1, "every request was sent to the backend");
    for (int i = 0; i < UNREAD; i++) {
      assertTrue(client.receive().status() >= 200);
    }
  }
}
