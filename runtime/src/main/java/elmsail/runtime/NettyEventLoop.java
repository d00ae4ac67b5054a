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
 *
 * <p>A process may stand still for a while: its share of a core is spent, it is frozen, or memory
 * is collected. What arrived meanwhile waits in the sockets, and time-outs that passed meanwhile
 * are due at once. A timer that is late therefore first lets the sockets be read, so that nobody is
 * taken for silent whose message has arrived.
 */
public final class NettyEventLoop implements Timers {

  private static final Logger LOG = LoggerFactory.getLogger(NettyEventLoop.class);

  /** After this many logged faults only one in {@link #FAULT_LOG_SAMPLING} is logged. */
  private static final int MAX_LOGGED_FAULTS = 20;

  private static final int FAULT_LOG_SAMPLING = 1_000;

  /** A timer that is later than this lets the sockets be read once before it runs. */
  static final long LATE_TIMER_MS = 20;

  /** Long enough for the loop to turn once: it reads its sockets between two turns' timers. */
  private static final long SOCKET_TURN_MS = 1;

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
    LoopTimer timer = new LoopTimer(new GuardedTask(task), Math.max(0, delayMs));
    timer.schedule(Math.max(0, delayMs));
    return timer;
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

  /** A timer that yields to the sockets once if it is late. */
  private final class LoopTimer implements Timer, Runnable {
    private final Runnable task;
    private final long dueAtMs;
    private volatile ScheduledFuture<?> scheduled;
    private boolean hasYielded;

    LoopTimer(Runnable task, long delayMs) {
      this.task = task;
      dueAtMs = now() + delayMs;
    }

    void schedule(long delayMs) {
      try {
        scheduled = eventLoop.schedule(this, delayMs, TimeUnit.MILLISECONDS);
      } catch (RejectedExecutionException e) {
        LOG.debug("timer rejected: the event loop has terminated");
      }
    }

    @Override
    public void run() {
      if (!hasYielded && now() - dueAtMs > LATE_TIMER_MS) {
        hasYielded = true;
        schedule(SOCKET_TURN_MS);
      } else {
        task.run();
      }
    }

    @Override
    public void cancel() {
      ScheduledFuture<?> last = scheduled;
      if (last != null) {
        last.cancel(false);
      }
    }
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
