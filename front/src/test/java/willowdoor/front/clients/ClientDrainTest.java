package willowdoor.front.clients;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.local.LocalAddress;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import willowdoor.front.loop.Clock;
import willowdoor.front.loop.PollTimes;
import willowdoor.front.loop.Transport;

/** Tests how long a drain accepts new connections. The test advances the clock itself. */
class ClientDrainTest {

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, Transport.IN_PROCESS.ioHandler());
  private long nanos;
  private final Clock clock = new Clock(Instant.EPOCH, () -> nanos);
  private final ClientServer server =
      new ClientServer(
          Transport.IN_PROCESS, clock, new PollTimes(0), null, null, null, null, () -> true);

  @BeforeEach
  void listen() throws Exception {
    server.listen(group, LocalAddress.ANY).sync();
  }

  @AfterEach
  void close() throws Exception {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
  }

  private void runRounds(int ms) {
    for (int i = 0; i < ms / 10; i++) {
      runRound(10);
    }
  }

  private void runRound(int afterMs) {
    nanos += TimeUnit.MILLISECONDS.toNanos(afterMs);
    server.closeIdleConnections();
  }

  /**
   * New connections arrive for 0.4 s after the signal, even if the operators' drain began long
   * before.
   */
  @Test
  void shutdownAcceptsNewConnectionsDespiteAnOldOperatorDrain() {
    server.setOperatorDrain(true);
    runRounds(5_000);
    server.shutDown();
    runRounds(500);
    assertFalse(server.isTerminated());
    runRounds(100);
    assertTrue(server.isTerminated());
  }

  /**
   * Connections that arrived during a pause of this process are accepted and read before the drain
   * acts.
   */
  @Test
  void roundAfterAPauseClosesNothing() {
    runRounds(100);
    server.shutDown();
    runRound(900);
    assertFalse(server.isTerminated());
    runRound(10);
    assertTrue(server.isTerminated());
  }
}
