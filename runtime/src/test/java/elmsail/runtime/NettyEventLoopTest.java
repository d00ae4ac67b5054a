package elmsail.runtime;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class NettyEventLoopTest {

  private final NettyEventLoop loop = new NettyEventLoop();

  @AfterEach
  void end() {
    loop.shutdown();
  }

  @Test
  void continuesAfterATaskThrows() throws Exception {
    loop.execute(
        () -> {
          throw new IllegalStateException("a test's");
        });
    loop.schedule(
        1,
        () -> {
          throw new AssertionError("a test's");
        });
    CompletableFuture<Long> then = new CompletableFuture<>();
    loop.schedule(20, () -> then.complete(loop.faultCount()));
    assertThat(then.get(), is(2L));
  }

  @Test
  void runsOnOneThreadAndSkipsCancelledTimers() throws Exception {
    AtomicBoolean ran = new AtomicBoolean();
    CountDownLatch done = new CountDownLatch(1);
    CompletableFuture<Boolean> inside = new CompletableFuture<>();
    loop.execute(
        () -> {
          inside.complete(loop.eventLoop().inEventLoop());
          Timers.Timer never = loop.schedule(0, () -> ran.set(true));
          never.cancel();
          loop.schedule(5, done::countDown);
        });
    assertThat(inside.get(), is(true));
    assertThat(done.await(10, TimeUnit.SECONDS), is(true));
    assertThat(ran.get(), is(false));
  }

  @Test
  void ignoresTasksAfterShutdown() throws Exception {
    loop.shutdown().get();
    loop.execute(() -> {});
    loop.schedule(1, () -> {}).cancel();
    assertThat(loop.faultCount(), is(0L));
  }
}
