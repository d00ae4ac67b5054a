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
 * The process's only event loop, one thread. All state of the process is confined to it unless a
 * class says otherwise. A throwable of a task is counted and logged, and never ends the loop.
 */
public final class NettyEventLoop implements Timers {

  private static final Logger LOG = LoggerFactory.getLogger(NettyEventLoop.class);

  /** After this many logged faults only one in {@link #FAULT_LOG_SAMPLING} is logged. */
  private static final int MAX_LOGGED_FAULTS = 20;

  private static final int FAULT_LOG_SAMPLING = 1_000;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop eventLoop = group.next();
  private final AtomicLong faultCount = new AtomicLong();

  /** The event loop for channels. */
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
      LOG.debug("task rejected: the event loop has terminated");
    }
  }

  /** The number of tasks that threw. */
  public long faultCount() {
    return faultCount.get();
  }

  /** Counts and logs what a task or a channel handler threw. */
  public void reportFault(Throwable thrown) {
    long number = faultCount.incrementAndGet();
    if (number <= MAX_LOGGED_FAULTS || number % FAULT_LOG_SAMPLING == 0) {
      LOG.error("fault {} on the loop", number, thrown);
    }
  }

  /** Terminates the loop: tasks scheduled or submitted afterwards are dropped. */
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
