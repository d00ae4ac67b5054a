package willowdoor.front.counter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.front.Peers;
import willowdoor.front.loop.Clock;
import willowdoor.front.loop.EventCounters;
import willowdoor.front.loop.Transport;
import willowdoor.policy.GatewayApi.CounterResult;
import willowdoor.policy.GatewayApi.Status;

/** The counter client against a scripted counter. */
@Timeout(30)
class CounterClientTest {

  private final Peers peers = new Peers();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, Transport.BEST.ioHandler());
  private final BlockingQueue<CounterResult> ends = new LinkedBlockingQueue<>();
  private volatile Consumer<CounterResult> listener = ends::add;
  private final EventCounters counters = new EventCounters();
  private CounterClient client;

  @AfterEach
  void close() throws Exception {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    peers.close();
  }

  /** Calls until one succeeds, as the connections are opened asynchronously. */
  private void start(double timeoutMs) throws Exception {
    client =
        new CounterClient(
            group.next(),
            Transport.BEST,
            new Clock(),
            new InetSocketAddress("127.0.0.1", peers.counter.getLocalPort()),
            timeoutMs,
            counters,
            c -> listener.accept(c));
    group.next().submit(client::start).sync();
    do {
      add("up", 0);
    } while (Peers.next(ends).status() == Status.UNREACHABLE);
    peers.atCounter.clear();
  }

  private void add(String name, double amount) {
    group.next().execute(() -> client.add(name, amount, 4000));
  }

  @Test
  void writesPlainDecimalsAndReadsTotals() throws Exception {
    start(5_000);
    add("a", 2);
    assertEquals("incr a 2 4000", Peers.next(peers.atCounter));
    assertEquals(new CounterResult("a", Status.OK, 2, 0).total(), Peers.next(ends).total());
    add("a", -0.0000125);
    assertEquals("incr a -0.000013 4000", Peers.next(peers.atCounter));
    Peers.next(ends);
    peers.counting = line -> "busy";
    add("a", 1);
    assertEquals(Status.REJECTED, Peers.next(ends).status());
  }

  /** A call delayed by one slow part of the counter delays no call for another name. */
  @Test
  void slowNameDoesNotDelayOthers() throws Exception {
    CountDownLatch go = new CountDownLatch(1);
    peers.counting =
        line -> {
          if (line.contains("slow")) {
            await(go);
          }
          return peers.count(line);
        };
    start(5_000);
    add("slow", 1);
    add("fast", 1);
    assertEquals("fast", Peers.next(ends).name());
    go.countDown();
    assertEquals("slow", Peers.next(ends).name());
  }

  /** The late response to a call that timed out is not taken for the response to the next call. */
  @Test
  void timedOutCallKeepsItsPosition() throws Exception {
    start(1_500);
    CountDownLatch go = new CountDownLatch(1);
    peers.counting =
        line -> {
          if (line.contains(" 5 ")) {
            await(go);
          }
          return peers.count(line);
        };
    for (int i = 0; i < 12; i++) {
      add("n" + i, 5);
    }
    for (int i = 0; i < 12; i++) {
      assertEquals(Status.TIMED_OUT, Peers.next(ends).status());
    }
    add("x", 1);
    go.countDown();
    CounterResult next = Peers.next(ends);
    assertEquals(Status.OK, next.status());
    assertEquals(1, next.total());
  }

  @Test
  void unexpectedLineClosesTheConnectionAndTheCallMayHaveBeenAdded() throws Exception {
    start(5_000);
    peers.counting = line -> "what?";
    add("a", 1);
    assertEquals(Status.RESET, Peers.next(ends).status());
    String line = group.next().submit(() -> counters.formatLine("figures")).sync().getNow();
    assertEquals("figures COUNTER_UNREADABLE=1", line);
    peers.counting = peers::count;
    add("b", 1);
    assertEquals(Status.OK, Peers.next(ends).status());
  }

  /** A response that arrived while this process was paused is read before its call times out. */
  @Test
  void pauseOfThisProcessDoesNotTimeOutCalls() throws Exception {
    start(500);
    CountDownLatch heldUp = new CountDownLatch(1);
    listener =
        c -> {
          ends.add(c);
          if (c.name().equals("first")) {
            heldUp.countDown();
            pause(1_500);
          }
        };
    peers.counting =
        line -> {
          if (line.contains("second")) {
            await(heldUp);
          }
          return peers.count(line);
        };
    group
        .next()
        .execute(
            () -> {
              client.add("first", 1, 4000);
              client.add("second", 1, 4000);
            });
    assertEquals("first", Peers.next(ends).name());
    assertEquals(Status.OK, Peers.next(ends).status());
  }

  private static void pause(long ms) {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Lines received in the same read after an unexpected line are out of sync, so they match no
   * call.
   */
  @Test
  void nothingAfterAnUnexpectedLineIsTakenForAResponse() throws Exception {
    start(5_000);
    peers.counting = line -> line.contains(" 1 ") ? null : "ok what?\r\nok 99";
    add("a", 1);
    add("a", 2);
    assertEquals(Status.RESET, Peers.next(ends).status());
    assertEquals(Status.RESET, Peers.next(ends).status());
  }

  /**
   * A silent connection is replaced: calls succeed again although no call on the old connections
   * was ever answered.
   */
  @Test
  void silentConnectionsAreReplaced() throws Exception {
    start(50);
    peers.counting = line -> null;
    for (int i = 0; i < 24; i++) {
      add("n" + i, 1);
      assertNotEquals(Status.OK, Peers.next(ends).status());
    }
    peers.counting = peers::count;
    do {
      add("back", 0);
    } while (Peers.next(ends).status() != Status.OK);
  }

  /** A truncated line is not a response even if it parses: "ok 12" may be the start of "ok 120". */
  @Test
  void truncatedLineIsNotAResponse() throws Exception {
    start(5_000);
    InetSocketAddress cutting =
        (InetSocketAddress)
            peers
                .listen(
                    50,
                    (in, out, socket) -> {
                      in.read();
                      Peers.write(out, "ok 12");
                      socket.close();
                    })
                .getLocalSocketAddress();
    group.next().submit(() -> client.moveTo(cutting)).sync();
    do {
      add("a", 1);
    } while (Peers.next(ends).status() == Status.OK);
    for (int i = 0; i < 20; i++) {
      add("a" + i, 1);
      assertNotEquals(12, Peers.next(ends).total());
    }
  }

  /** Sends a call for "a" that has reached the counter, and is answered once the latch is open. */
  private CountDownLatch oneOutstandingCall() throws InterruptedException {
    CountDownLatch go = new CountDownLatch(1);
    peers.counting =
        line -> {
          if (line.startsWith("incr a ")) {
            await(go);
          }
          return peers.count(line);
        };
    add("a", 1);
    Peers.next(peers.atCounter);
    return go;
  }

  /**
   * Outstanding calls are still answered by the old address; its connections are closed afterwards.
   */
  @Test
  void outstandingCallsAreAnsweredByTheOldAddressAfterAMove() throws Exception {
    start(20_000);
    CountDownLatch go = oneOutstandingCall();
    CountDownLatch ended = new CountDownLatch(1);
    try (Peers next = new Peers()) {
      InetSocketAddress address = (InetSocketAddress) next.counter.getLocalSocketAddress();
      group.next().submit(() -> client.moveTo(address)).sync();
      peers.onCounterEnd = ended::countDown;
      while (next.atCounter.isEmpty()) {
        add("b", 1);
        Peers.next(ends);
      }
      add("c", 1);
      assertEquals("c", Peers.next(ends).name());
      go.countDown();
      CounterResult owed = Peers.next(ends);
      assertEquals("a", owed.name());
      assertEquals(Status.OK, owed.status());
      assertTrue(ended.await(10, TimeUnit.SECONDS));
    }
  }

  /** Two SIGHUPs with the same address, old or new, cost no outstanding call. */
  @Test
  void moveToTheSameAddressKeepsOutstandingCalls() throws Exception {
    start(5_000);
    CountDownLatch go = oneOutstandingCall();
    InetSocketAddress same = (InetSocketAddress) peers.counter.getLocalSocketAddress();
    group
        .next()
        .submit(
            () -> {
              client.moveTo(same);
              client.moveTo(same);
            })
        .sync();
    go.countDown();
    assertEquals(Status.OK, Peers.next(ends).status());
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
