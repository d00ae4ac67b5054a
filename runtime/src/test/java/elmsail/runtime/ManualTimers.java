package elmsail.runtime;

import java.util.PriorityQueue;

/**
 * A clock that stands still until it is moved, and timers that go off as it passes them, in order.
 * Published with this module's tests for those of the other modules.
 */
public final class ManualTimers implements Timers {

  private record Due(long at, long sequence, Runnable task) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
    }
  }

  private final PriorityQueue<Due> due = new PriorityQueue<>();
  private long now = 1_000;
  private long sequence;

  @Override
  public long now() {
    return now;
  }

  @Override
  public Timer schedule(long millis, Runnable task) {
    Due one = new Due(now + Math.max(0, millis), sequence++, task);
    due.add(one);
    return () -> due.remove(one);
  }

  @Override
  public void execute(Runnable task) {
    schedule(0, task);
  }

  /** Moves the clock, running what falls due on the way. */
  public void advance(long millis) {
    long end = now + millis;
    while (!due.isEmpty() && due.peek().at() <= end) {
      Due next = due.poll();
      now = Math.max(now, next.at());
      next.task().run();
    }
    now = end;
  }

  /**
   * Advances the clock in one step. Tasks that became due in between run afterwards, at the new
   * time.
   */
  public void advanceRunningLate(long millis) {
    now += millis;
    advance(0);
  }

  /** How many timers are set. */
  public int pendingTimers() {
    return due.size();
  }

  /** Runs the next thing due, moving the clock to it; false if there is none. */
  public boolean runNext() {
    Due next = due.poll();
    if (next == null) {
      return false;
    }
    now = Math.max(now, next.at());
    next.task().run();
    return true;
  }
}
