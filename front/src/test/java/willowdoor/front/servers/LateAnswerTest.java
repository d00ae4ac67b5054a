package willowdoor.front.servers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import willowdoor.front.Peers;

/**
 * Data received after a response must never be taken for the response to the next request on the
 * same connection.
 */
@Timeout(value = 40, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LateAnswerTest {

  private static final int DELAY_MS = (int) BackendPool.REUSE_DELAY_MS;

  private PoolPeers peers;
  private ServerSocket server;
  private long id;
  private Socket used;

  /** Opens a connection that has just completed its first request. */
  @BeforeEach
  void open() throws Exception {
    peers = new PoolPeers();
    server = peers.listen(50, 0);
    id = peers.tell(PoolPeers.entry(server, "active"));
    RecordingAttempt first = peers.start(id, peers.attempt());
    used = peers.accept(server);
    assertEquals("OK fine", PoolPeers.serve(used, first));
    awaitReleased();
  }

  /**
   * Waits until the connection is back in the pool. The pool takes it back in the loop's round that
   * ends the attempt, so the clock may be advanced only after that round.
   */
  private void awaitReleased() throws InterruptedException {
    peers.run(() -> {});
  }

  @AfterEach
  void close() throws IOException {
    peers.close();
  }

  private void isServedOn(Socket socket, RecordingAttempt attempt) throws Exception {
    PoolPeers.read(socket);
    PoolPeers.write(socket, PoolPeers.OK.replace("fine", "next"));
    assertEquals("OK next", Peers.next(attempt.ends));
    awaitReleased();
  }

  @Test
  void connectionIsReusedOnlyAfterTheReuseDelay() throws Exception {
    peers.pass(DELAY_MS - 1);
    RecordingAttempt early = peers.start(id, peers.attempt());
    isServedOn(peers.accept(server), early);
    peers.pass(1);
    isServedOn(used, peers.start(id, peers.attempt()));
  }

  /**
   * The data has reached the kernel when the next request starts, and the loop has not polled
   * since.
   */
  @ParameterizedTest
  @ValueSource(strings = {"answer", "half a line", "end", "reset"})
  void unreadDataIsDetectedBeforeTheConnectionIsReused(String what) throws Exception {
    RecordingAttempt next = peers.attempt();
    peers.run(
        () -> {
          send(what);
          peers.pass(DELAY_MS);
          peers.pool.start(id, next);
        });
    isServedOn(peers.accept(server), next);
  }

  private void send(String what) {
    try {
      switch (what) {
        case "answer" -> PoolPeers.write(used, PoolPeers.OK);
        case "half a line" -> PoolPeers.write(used, "HTTP/1.1 20");
        case "end" -> used.close();
        default -> {
          used.setSoLinger(true, 0);
          used.close();
        }
      }
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * After a late duplicate response, connections to that server stay idle for twice the delay
   * before reuse.
   */
  @ParameterizedTest
  @CsvSource({"60, 120, answer", "60, 120, half a line", "1000, 20, answer"})
  void reuseDelayGrowsAfterALateResponse(int lateMs, int restMs, String what) throws Exception {
    peers.pass(lateMs);
    send(what);
    assertEquals(0, PoolPeers.drain(used));
    RecordingAttempt second = peers.start(id, peers.attempt());
    Socket fresh = peers.accept(server);
    isServedOn(fresh, second);
    peers.pass(restMs - 1);
    RecordingAttempt third = peers.start(id, peers.attempt());
    isServedOn(peers.accept(server), third);
    peers.pass(1);
    isServedOn(fresh, peers.start(id, peers.attempt()));
  }

  /**
   * A server starts a request only after its last byte, so an earlier response does not belong to
   * the request.
   */
  @Test
  void responseBeforeTheRequestsLastByteIsRejected() throws Exception {
    peers.pass(DELAY_MS);
    RecordingAttempt next = peers.start(id, peers.attempt(32 << 20));
    PoolPeers.read(used, 10);
    PoolPeers.write(used, PoolPeers.OK);
    assertEquals("UNREACHABLE", Peers.next(next.ends));
  }
}
