package elmsail.gateway;

import elmsail.runtime.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Another's timers, which a test may move ahead: what falls due on the way runs on the loop. */
public final class AdvanceableTimers implements Timers {

  private final class PendingTimer implements Timer {
    private final long dueAt;
    private final Runnable task;
    private Timer realTimer;
    private boolean done;

    PendingTimer(long dueAt, Runnable task) {
      this.dueAt = dueAt;
      this.task = task;
    }

    private void runOnRealTime() {
      if (dueAt <= now()) {
        run();
      }
    }

    private void run() {
      if (!done) {
        cancel();
        task.run();
      }
    }

    @Override
    public void cancel() {
      done = true;
      pending.remove(this);
      if (realTimer != null) {
        realTimer.cancel();
      }
    }
  }

  private static final int MAX_WAIT_S = 60;

  /** Long enough for the loop to read its sockets once. */
  private static final long SOCKET_READ_DELAY_MS = 1;

  private final Timers delegate;
  private final List<PendingTimer> pending = new ArrayList<>();
  private final AtomicLong advancedMs = new AtomicLong();
  private volatile boolean stopped;
  private volatile long stoppedAt;

  AdvanceableTimers(Timers timers) {
    this.delegate = timers;
  }

  @Override
  public long now() {
    return (stopped ? stoppedAt : delegate.now()) + advancedMs.get();
  }

  @Override
  public Timer schedule(long ms, Runnable task) {
    PendingTimer timer = new PendingTimer(now() + ms, task);
    pending.add(timer);
    timer.realTimer = delegate.schedule(ms, timer::runOnRealTime);
    return timer;
  }

  @Override
  public void execute(Runnable task) {
    delegate.execute(task);
  }

  /**
   * From now on only {@link #advance} moves the clock: for tests of what is done in time, which
   * then hold however slowly the machine runs them. From a test's thread.
   */
  public void stopRealTime() {
    stoppedAt = delegate.now();
    stopped = true;
  }

  /**
   * From a test's thread; done once it returns. Were it only on its way to the loop, bytes that the
   * test writes next could be read before it, as the loop reads its sockets before it runs tasks.
   * What the sockets hold by now is read first, such as the end of a connect: a time-out counts
   * what happens on this clock, not how slowly the machine runs the loop.
   */
  public void advance(long ms) {
    CountDownLatch done = new CountDownLatch(1);
    delegate.schedule(
        SOCKET_READ_DELAY_MS,
        () -> {
          try {
            advanceOnLoop(ms);
          } finally {
            done.countDown();
          }
        });
    try {
      if (!done.await(MAX_WAIT_S, TimeUnit.SECONDS)) {
        throw new AssertionError("the loop does not run what it was given");
      }
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  private void advanceOnLoop(long ms) {
    advancedMs.addAndGet(ms);
    for (PendingTimer timer : new ArrayList<>(pending)) {
      if (timer.dueAt <= now()) {
        timer.run();
      }
    }
  }
}
