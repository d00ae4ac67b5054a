package elmsail.gateway;

import elmsail.runtime.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Wraps other timers with a clock that a test can advance. Tasks that become due by an advance run
 * on the loop.
 */
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

  /** Within this time the loop reads its sockets once. */
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
   * Stops the real clock, so that from now on only {@link #advance} changes the time. Tests of
   * deadlines then pass no matter how slowly the machine runs them. Called from the test's thread.
   */
  public void stopRealTime() {
    stoppedAt = delegate.now();
    stopped = true;
  }

  /**
   * Advances the clock and runs the tasks that become due. Called from the test's thread; returns
   * once the loop has done so. If the call returned earlier, the loop could read bytes that the
   * test writes next before the clock advances, as the loop reads its sockets before it runs tasks.
   * The loop first handles the socket events that are pending now, such as the completion of a
   * connect, so that timeouts depend on this clock and not on how slowly the machine runs the loop.
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
        throw new AssertionError("the event loop did not advance the clock within the wait time");
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
