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
class NettyLoopTest {

  private final NettyLoop loop = new NettyLoop();

  @AfterEach
  void end() {
    loop.stop();
  }

  @Test
  void goesOnAfterATaskThatThrows() throws Exception {
    loop.soon(
        () -> {
          throw new IllegalStateException("a test's");
        });
    loop.after(
        1,
        () -> {
          throw new AssertionError("a test's");
        });
    CompletableFuture<Long> then = new CompletableFuture<>();
    loop.after(20, () -> then.complete(loop.faults()));
    assertThat(then.get(), is(2L));
  }

  @Test
  void runsOnOneThreadAndNotWhatWasCancelled() throws Exception {
    AtomicBoolean ran = new AtomicBoolean();
    CountDownLatch done = new CountDownLatch(1);
    CompletableFuture<Boolean> inside = new CompletableFuture<>();
    loop.soon(
        () -> {
          inside.complete(loop.events().inEventLoop());
          Timers.Timer never = loop.after(0, () -> ran.set(true));
          never.cancel();
          loop.after(5, done::countDown);
        });
    assertThat(inside.get(), is(true));
    assertThat(done.await(10, TimeUnit.SECONDS), is(true));
    assertThat(ran.get(), is(false));
  }

  @Test
  void takesWhatComesAfterItsEndWithoutAFault() throws Exception {
    loop.stop().get();
    loop.soon(() -> {});
    loop.after(1, () -> {}).cancel();
    assertThat(loop.faults(), is(0L));
  }
}
