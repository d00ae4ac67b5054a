package willowdoor.front.servers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import willowdoor.front.Peers;

/**
 * The last byte of a retry is written by its deadline or never, whatever delayed its connection.
 */
@Timeout(value = 40, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RepeatWriteTest {

  private static final int WITHIN_MS = 200;

  private PoolPeers peers;
  private ServerSocket server;
  private long id;

  @BeforeEach
  void open() throws Exception {
    peers = new PoolPeers();
    server = peers.listen(50, 0);
    id = peers.tell(PoolPeers.entry(server, "active"));
  }

  @AfterEach
  void close() throws IOException {
    peers.close();
  }

  /**
   * The kernel has completed the connect, and the clock advances before the loop receives the
   * result.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, WITHIN_MS, WITHIN_MS + 1, 1_500})
  void retryIsNotWrittenAfterASlowConnect(int tookMs) throws Exception {
    RecordingAttempt repeat = peers.repeat(10, WITHIN_MS);
    peers.run(
        () -> {
          peers.pool.start(id, repeat);
          peers.behind(3, () -> peers.pass(tookMs));
        });
    Socket socket = peers.accept(server);
    if (tookMs <= WITHIN_MS) {
      PoolPeers.read(socket, 10);
      PoolPeers.write(socket, PoolPeers.OK);
      assertEquals("OK fine", Peers.next(repeat.ends));
    } else {
      assertEquals("UNREACHABLE", Peers.next(repeat.ends));
      assertEquals(0, PoolPeers.drain(socket));
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void retryIsNotWrittenPastItsDeadlineOnAnOpenConnection(int overMs) throws Exception {
    RecordingAttempt first = peers.start(id, peers.attempt(10));
    Socket socket = peers.accept(server);
    PoolPeers.read(socket, 10);
    PoolPeers.write(socket, PoolPeers.OK);
    assertEquals("OK fine", Peers.next(first.ends));
    RecordingAttempt repeat = peers.repeat(10, WITHIN_MS);
    peers.pass(WITHIN_MS + overMs);
    peers.start(id, repeat);
    if (overMs > 0) {
      assertEquals("UNREACHABLE", Peers.next(repeat.ends));
    } else {
      PoolPeers.read(socket, 10);
    }
  }

  /**
   * The kernel accepts at most a part of the request; the rest would be sent whenever the server
   * reads.
   */
  @Test
  void blockedWriteOfARetryIsAbandoned() throws Exception {
    ServerSocket slow = peers.listen(50, 4_096);
    long slowId = peers.tell(PoolPeers.entry(slow, "active"));
    int length = 32 << 20;
    RecordingAttempt repeat = peers.start(slowId, peers.repeat(length, WITHIN_MS));
    Socket socket = peers.accept(slow);
    assertEquals("UNREACHABLE", Peers.next(repeat.ends));
    int came = PoolPeers.drain(socket);
    assertTrue(came < length, came + " bytes came");
  }

  /** The client determines when the last byte arrives. */
  @Test
  void retryWithAnIncompleteBodyIsNotStarted() throws Exception {
    RecordingAttempt repeat =
        new RecordingAttempt(
            RecordingAttempt.inPieces(), peers.clock.now() + 5_000, peers.clock.now() + WITHIN_MS);
    peers.start(id, repeat);
    assertEquals("UNREACHABLE", Peers.next(repeat.ends));
    peers.run(() -> assertEquals(0, peers.pool.connections()));
  }
}
