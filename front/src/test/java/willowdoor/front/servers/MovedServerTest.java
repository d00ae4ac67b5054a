package willowdoor.front.servers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import willowdoor.front.Peers;
import willowdoor.front.discovery.BackendListUpdate;
import willowdoor.policy.GatewayApi.Status;

/**
 * Discovery changes a server's entry while a connection to the server is busy, idle or being
 * opened. Such a connection must not carry a new request.
 */
@Timeout(value = 40, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class MovedServerTest {

  private enum ListChange {
    MOVED,
    STARTED_ANEW,
    GONE_AND_BACK,
    DRAINED_AND_BACK,
    TAKEN_OUT_AND_BACK
  }

  private PoolPeers peers;
  private ServerSocket before;
  private ServerSocket after;
  private long id;

  @BeforeEach
  void open() throws Exception {
    peers = new PoolPeers();
    before = peers.listen(50, 0);
    after = before;
    id = peers.tell(PoolPeers.entry(before, "active"));
  }

  @AfterEach
  void close() throws IOException {
    peers.close();
  }

  /** Returns the messages that report the change, in order. */
  private BackendListUpdate[] updates(ListChange news) throws IOException {
    String entry = PoolPeers.entry(before, "active");
    switch (news) {
      case MOVED -> {
        after = peers.listen(50, 0);
        return new BackendListUpdate[] {peers.news(false, PoolPeers.entry(after, "active"))};
      }
      case STARTED_ANEW -> {
        return new BackendListUpdate[] {
          peers.news(false, entry.replace("started_ms\":0", "started_ms\":5"))
        };
      }
      case DRAINED_AND_BACK -> {
        return new BackendListUpdate[] {
          peers.news(false, PoolPeers.entry(before, "leaving")), peers.news(false, entry)
        };
      }
      default -> {
        return new BackendListUpdate[] {
          peers.news(true, entry.replace("s-1", "s-2")), peers.news(true, entry)
        };
      }
    }
  }

  /** Applies the change; runs on the loop. */
  private void tell(ListChange news, BackendListUpdate... messages) {
    if (news == ListChange.TAKEN_OUT_AND_BACK) {
      peers.banned.add(id);
      peers.pool.cancelUnsent(id);
      peers.banned.remove(id);
    } else {
      for (BackendListUpdate message : messages) {
        peers.pool.onRoster(message);
      }
    }
  }

  /** The current request continues, and its connection carries nothing afterwards. */
  @ParameterizedTest
  @EnumSource
  void connectionBusyDuringTheChangeIsNotReused(ListChange news) throws Exception {
    oneRequestOnly(news, true);
  }

  @ParameterizedTest
  @EnumSource
  void connectionIdleDuringTheChangeIsNotReused(ListChange news) throws Exception {
    oneRequestOnly(news, false);
  }

  private void oneRequestOnly(ListChange news, boolean busy) throws Exception {
    RecordingAttempt first = peers.start(id, peers.attempt());
    Socket old = peers.accept(before);
    PoolPeers.read(old);
    if (!busy) {
      PoolPeers.write(old, PoolPeers.OK);
      assertEquals("OK fine", Peers.next(first.ends));
    }
    BackendListUpdate[] messages = updates(news);
    peers.run(() -> tell(news, messages));
    if (busy) {
      PoolPeers.write(old, PoolPeers.OK);
      assertEquals("OK fine", Peers.next(first.ends));
    }
    peers.pass(1_000);
    RecordingAttempt next = peers.start(id, peers.attempt());
    assertEquals("OK fine", PoolPeers.serve(peers.accept(after), next));
    assertEquals(0, PoolPeers.drain(old));
  }

  /** The kernel has connected, and the update is applied before the loop receives the result. */
  @ParameterizedTest
  @EnumSource
  void connectionOpeningDuringTheChangeIsNotUsed(ListChange news) throws Exception {
    BackendListUpdate[] messages = updates(news);
    RecordingAttempt attempt = peers.attempt();
    peers.run(
        () -> {
          peers.pool.start(id, attempt);
          peers.behind(3, () -> tell(news, messages));
        });
    assertEquals(Status.UNREACHABLE.toString(), Peers.next(attempt.ends));
    assertEquals(0, PoolPeers.drain(peers.accept(before)));
    peers.run(() -> assertEquals(0, peers.pool.connections()));
  }
}
