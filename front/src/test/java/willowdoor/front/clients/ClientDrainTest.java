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

/** How long a drain takes new connections, on a clock moved by hand. */
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

  private void rounds(int ms) {
    for (int i = 0; i < ms / 10; i++) {
      round(10);
    }
  }

  private void round(int afterMs) {
    nanos += TimeUnit.MILLISECONDS.toNanos(afterMs);
    server.partWithIdle();
  }

  /** New connections come for 0.4 s after the signal. */
  @Test
  void thePlannedEndTakesNewConnectionsThoughTheOperatorsDrainIsOld() {
    server.evacuate(true);
    rounds(5_000);
    server.end();
    rounds(500);
    assertFalse(server.ended());
    rounds(100);
    assertTrue(server.ended());
  }

  /** Those that came in a pause of this process are accepted and read first. */
  @Test
  void theRoundBehindAPauseEndsNothing() {
    rounds(100);
    server.end();
    round(900);
    assertFalse(server.ended());
    round(10);
    assertTrue(server.ended());
  }
}
