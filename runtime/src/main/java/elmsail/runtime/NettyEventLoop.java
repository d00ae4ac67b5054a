package elmsail.runtime;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The process's one event loop. What a task throws is counted and logged, and never ends the loop.
 */
public final class NettyEventLoop implements Timers {

  private static final Logger LOG = LoggerFactory.getLogger(NettyEventLoop.class);

  /**
   * Beyond this many only every so-manyth fault is logged, so that a log does not fill with one.
   */
  private static final int MAX_LOGGED_FAULTS = 20;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop eventLoop = group.next();
  private final AtomicLong faultCount = new AtomicLong();

  /** For the channels: everything runs on it. */
  public EventLoop eventLoop() {
    return eventLoop;
  }

  @Override
  public long now() {
    return MonotonicClock.SYSTEM.now();
  }

  @Override
  public Timer schedule(long delayMs, Runnable task) {
    try {
      ScheduledFuture<?> set =
          eventLoop.schedule(new GuardedTask(task), Math.max(0, delayMs), TimeUnit.MILLISECONDS);
      return () -> set.cancel(false);
    } catch (RejectedExecutionException e) {
      return () -> {};
    }
  }

  @Override
  public void execute(Runnable task) {
    try {
      eventLoop.execute(new GuardedTask(task));
    } catch (RejectedExecutionException e) {
      LOG.debug("the loop has ended");
    }
  }

  /** How many tasks have thrown something. */
  public long faultCount() {
    return faultCount.get();
  }

  /** Counts and logs what a task or a handler of a channel threw. */
  public void reportFault(Throwable thrown) {
    long number = faultCount.incrementAndGet();
    if (number <= MAX_LOGGED_FAULTS || number % 1_000 == 0) {
      LOG.error("fault {} on the loop", number, thrown);
    }
  }

  /** Ends the loop: nothing set or sent afterwards is run. */
  public Future<?> shutdown() {
    return group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private final class GuardedTask implements Runnable {
    private final Runnable task;

    GuardedTask(Runnable task) {
      this.task = task;
    }

    @Override
    public void run() {
      try {
        task.run();
      } catch (Exception | LinkageError | AssertionError | StackOverflowError e) {
        reportFault(e);
      }
    }
  }
}
