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

/** A repeat's last byte is written by its time or never, whatever its connection waited for. */
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

  /** The connect is up for the kernel, and the clock moves before the loop has its word. */
  @ParameterizedTest
  @ValueSource(ints = {0, WITHIN_MS, WITHIN_MS + 1, 1_500})
  void aSlowConnectDoesNotCarryItPastItsTime(int tookMs) throws Exception {
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
  void anOpenConnectionDoesNotTakeItPastItsTime(int overMs) throws Exception {
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

  /** The kernel takes a part at most: the rest would go whenever the server reads. */
  @Test
  void aWriteThatIsHeldBackIsGivenUp() throws Exception {
    ServerSocket slow = peers.listen(50, 4_096);
    long slowId = peers.tell(PoolPeers.entry(slow, "active"));
    int length = 32 << 20;
    RecordingAttempt repeat = peers.start(slowId, peers.repeat(length, WITHIN_MS));
    Socket socket = peers.accept(slow);
    assertEquals("UNREACHABLE", Peers.next(repeat.ends));
    int came = PoolPeers.drain(socket);
    assertTrue(came < length, came + " bytes came");
  }

  /** When its last byte comes is the client's to say. */
  @Test
  void aRepeatWhoseEndHasStillToComeIsNotBegun() throws Exception {
    RecordingAttempt repeat =
        new RecordingAttempt(
            RecordingAttempt.inPieces(), peers.clock.now() + 5_000, peers.clock.now() + WITHIN_MS);
    peers.start(id, repeat);
    assertEquals("UNREACHABLE", Peers.next(repeat.ends));
    peers.run(() -> assertEquals(0, peers.pool.connections()));
  }
}
