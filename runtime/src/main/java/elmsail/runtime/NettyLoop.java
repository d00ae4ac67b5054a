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
public final class NettyLoop implements Timers {

  private static final Logger LOG = LoggerFactory.getLogger(NettyLoop.class);

  /**
   * Beyond this many only every so-manyth fault is logged, so that a log does not fill with one.
   */
  private static final int LOGGED_FAULTS = 20;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop events = group.next();
  private final AtomicLong faults = new AtomicLong();

  /** For the channels: everything runs on it. */
  public EventLoop events() {
    return events;
  }

  @Override
  public long now() {
    return SteadyClock.SYSTEM.now();
  }

  @Override
  public Timer after(long ms, Runnable then) {
    try {
      ScheduledFuture<?> set =
          events.schedule(new Guarded(then), Math.max(0, ms), TimeUnit.MILLISECONDS);
      return () -> set.cancel(false);
    } catch (RejectedExecutionException e) {
      return () -> {};
    }
  }

  @Override
  public void soon(Runnable then) {
    try {
      events.execute(new Guarded(then));
    } catch (RejectedExecutionException e) {
      LOG.debug("the loop has ended");
    }
  }

  /** How many tasks have thrown something. */
  public long faults() {
    return faults.get();
  }

  /** Counts and logs what a task or a handler of a channel threw. */
  public void fault(Throwable thrown) {
    long number = faults.incrementAndGet();
    if (number <= LOGGED_FAULTS || number % 1_000 == 0) {
      LOG.error("fault {} on the loop", number, thrown);
    }
  }

  /** Ends the loop: nothing set or sent afterwards is run. */
  public Future<?> stop() {
    return group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private final class Guarded implements Runnable {
    private final Runnable then;

    Guarded(Runnable then) {
      this.then = then;
    }

    @Override
    public void run() {
      try {
        then.run();
      } catch (Exception | LinkageError | AssertionError | StackOverflowError e) {
        fault(e);
      }
    }
  }
}
