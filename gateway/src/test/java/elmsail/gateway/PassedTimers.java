package elmsail.gateway;

import elmsail.runtime.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Another's timers, which a test may move ahead: what falls due on the way runs on the loop. */
public final class PassedTimers implements Timers {

  private final class One implements Timer {
    private final long at;
    private final Runnable then;
    private Timer real;
    private boolean over;

    One(long at, Runnable then) {
      this.at = at;
      this.then = then;
    }

    private void run() {
      if (!over) {
        cancel();
        then.run();
      }
    }

    @Override
    public void cancel() {
      over = true;
      waiting.remove(this);
      if (real != null) {
        real.cancel();
      }
    }
  }

  private static final int MOST_WAIT_S = 5;

  private final Timers timers;
  private final List<One> waiting = new ArrayList<>();
  private volatile long passed;

  PassedTimers(Timers timers) {
    this.timers = timers;
  }

  @Override
  public long now() {
    return timers.now() + passed;
  }

  @Override
  public Timer schedule(long ms, Runnable then) {
    One one = new One(now() + ms, then);
    waiting.add(one);
    one.real = timers.schedule(ms, one::run);
    return one;
  }

  @Override
  public void execute(Runnable then) {
    timers.execute(then);
  }

  /**
   * From a test's thread; done once it returns. Were it only on its way to the loop, bytes that the
   * test writes next could be read before it, as the loop reads its sockets before it runs tasks.
   */
  public void pass(long ms) {
    CountDownLatch done = new CountDownLatch(1);
    execute(
        () -> {
          try {
            moveAhead(ms);
          } finally {
            done.countDown();
          }
        });
    try {
      if (!done.await(MOST_WAIT_S, TimeUnit.SECONDS)) {
        throw new AssertionError("the loop does not run what it was given");
      }
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  private void moveAhead(long ms) {
    passed += ms;
    for (One one : new ArrayList<>(waiting)) {
      if (one.at <= now()) {
        one.run();
      }
    }
  }
}
