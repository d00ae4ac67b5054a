package elmsail.rpc;

import static org.junit.jupiter.api.Assertions.fail;

import elmsail.runtime.ManualTimers;
import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** A loop turned by the test's own thread over real loopback sockets, and a clock moved by hand. */
final class LoopbackFixture implements AutoCloseable {

  private static final long GIVE_UP_NANOS = 10_000_000_000L;

  final ManualIoEventLoop loop =
      new ManualIoEventLoop(Thread.currentThread(), NioIoHandler.newFactory());
  final ManualTimers timers = new ManualTimers();

  RpcEndpoint startEndpoint() {
    RpcEndpoint links = new RpcEndpoint(loop, timers, "127.0.0.1:0");
    runLoopUntil(links.listen()::isDone);
    return links;
  }

  /** Turns the loop, the clock standing still, until it is so. */
  void runLoopUntil(BooleanSupplier so) {
    long start = System.nanoTime();
    while (!so.getAsBoolean()) {
      if (System.nanoTime() - start > GIVE_UP_NANOS) {
        fail("did not come to pass");
      }
      loop.run(1_000_000);
      timers.advance(0);
    }
  }

  /** Turns the loop a few times, for what would show at once if it came at all. */
  void runLoop() {
    for (int i = 0; i < 20; i++) {
      loop.runNow();
      timers.advance(0);
    }
  }

  /** Moves the clock in steps, turning the loop at each. */
  void advance(long ms) {
    for (long left = ms; left > 0; left -= 10) {
      timers.advance(Math.min(left, 10));
      runLoop();
    }
  }

  @Override
  public void close() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    while (!loop.isTerminated()) {
      loop.runNow();
    }
  }
}
