package willowdoor.front.servers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import willowdoor.front.Peers;
import willowdoor.policy.GatewayApi.Status;

/**
 * The connection of an abandoned attempt is closed on the network before the attempt's end is
 * reported, and nothing is sent on it afterwards.
 */
@Timeout(value = 40, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class AbandonedAttemptTest {

  private PoolPeers peers;

  @BeforeEach
  void open() throws Exception {
    peers = new PoolPeers();
  }

  @AfterEach
  void close() throws IOException {
    peers.close();
  }

  /** Returns whether the connection has ended for the server, checked while the loop is blocked. */
  private static String seen(Socket socket) {
    try {
      socket.setSoTimeout(500);
      return socket.getInputStream().read() < 0 ? "ended" : "bytes";
    } catch (SocketTimeoutException e) {
      return "open";
    } catch (SocketException e) {
      return "ended";
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * The policy module may retry at once, so an open connection could still deliver a second copy of
   * the request.
   */
  @ParameterizedTest
  @ValueSource(strings = {"time", "junk", "chunk", "closing"})
  void connectionIsClosedBeforeTheEndIsReported(String why) throws Exception {
    ServerSocket server = peers.listen(50, 0);
    long id = peers.tell(PoolPeers.entry(server, "active"));
    RecordingAttempt attempt = peers.attempt(10);
    BlockingQueue<String> found = new LinkedBlockingQueue<>();
    peers.start(id, attempt);
    Socket socket = peers.accept(server);
    PoolPeers.read(socket, 10);
    attempt.next = status -> found.add(status + " " + seen(socket));
    Status expected = Status.RESET;
    switch (why) {
      case "time" -> {
        expected = Status.TIMED_OUT;
        peers.run(() -> attempt.abandon(Status.TIMED_OUT));
      }
      case "junk" -> PoolPeers.write(socket, "what?\r\n\r\n");
      case "chunk" ->
          PoolPeers.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
      default -> {
        expected = Status.ERROR;
        PoolPeers.write(
            socket, "HTTP/1.1 500 Oops\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
      }
    }
    assertEquals(expected + " ended", Peers.next(found));
  }

  /**
   * After an ordinary close the kernel would still deliver the buffered part of a long request
   * whenever the server reads it.
   */
  @Test
  void bufferedRestOfAnAbandonedRequestIsNeverDelivered() throws Exception {
    ServerSocket server = peers.listen(50, 4_096);
    long id = peers.tell(PoolPeers.entry(server, "active"));
    int length = 64_000;
    RecordingAttempt attempt = peers.start(id, peers.attempt(length));
    Socket socket = peers.accept(server);
    peers.awaitWritten(attempt);
    peers.run(() -> attempt.abandon(Status.TIMED_OUT));
    int came = PoolPeers.drain(socket);
    assertTrue(came < length, came + " bytes of a request given up");
  }

  /**
   * A connection that is being opened for the attempt is closed too, and nothing is written if the
   * connect completes.
   */
  @Test
  void abandonedAttemptWaitingForItsConnectionIsNeverWritten() throws Exception {
    ServerSocket server = peers.listen(50, 0);
    long id = peers.tell(PoolPeers.entry(server, "active"));
    RecordingAttempt attempt = peers.attempt(10);
    attempt.next = status -> attempt.ends.add("heard");
    // The kernel has connected, but the loop polls for the result only after the attempt is
    // abandoned.
    peers.run(
        () -> {
          peers.pool.start(id, attempt);
          peers.behind(
              3,
              () -> {
                Socket socket = accepted(server);
                attempt.abandon(Status.NOT_SENT);
                attempt.ends.add(seen(socket));
              });
        });
    assertEquals("NOT_SENT", Peers.next(attempt.ends));
    assertEquals("heard", Peers.next(attempt.ends));
    assertEquals("ended", Peers.next(attempt.ends));
    assertEquals(null, attempt.ends.poll(100, TimeUnit.MILLISECONDS));
    peers.run(() -> assertEquals(0, peers.pool.connections()));
  }

  private Socket accepted(ServerSocket server) {
    try {
      return peers.accept(server);
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /** The body and the reset have both reached the kernel before the loop reads. */
  @ParameterizedTest
  @ValueSource(ints = {0, 4, 10_000})
  void resetDoesNotCompleteABodyWithoutALength(int length) throws Exception {
    ServerSocket server = peers.listen(50, 0);
    long id = peers.tell(PoolPeers.entry(server, "active"));
    for (boolean reset : new boolean[] {true, false}) {
      RecordingAttempt attempt = peers.start(id, peers.attempt());
      Socket socket = peers.accept(server);
      PoolPeers.read(socket);
      String body = "x".repeat(length);
      peers.run(
          () -> {
            try {
              PoolPeers.write(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body);
              socket.setSoLinger(reset, 0);
              socket.close();
            } catch (IOException e) {
              throw new AssertionError(e);
            }
          });
      assertEquals(reset ? "RESET" : length > 0 ? "OK " + body : "OK", Peers.next(attempt.ends));
    }
  }

  /**
   * The connect completed in time, but the process was paused before the loop received the result.
   */
  @ParameterizedTest
  @ValueSource(ints = {PoolPeers.CONNECT_MS, PoolPeers.CONNECT_MS + 51})
  void connectReportedLongAfterItsTimeoutIsNotUsed(int laterMs) throws Exception {
    ServerSocket server = peers.listen(50, 0);
    long id = peers.tell(PoolPeers.entry(server, "active"));
    RecordingAttempt attempt = peers.attempt();
    peers.run(
        () -> {
          peers.pool.start(id, attempt);
          peers.behind(3, () -> peers.pass(laterMs));
        });
    Socket socket = peers.accept(server);
    if (laterMs == PoolPeers.CONNECT_MS) {
      assertEquals("OK fine", PoolPeers.serve(socket, attempt));
    } else {
      assertEquals("UNREACHABLE", Peers.next(attempt.ends));
      assertEquals(0, PoolPeers.drain(socket));
    }
  }
}
