package elmsail.runtime;

import java.util.PriorityQueue;

/**
 * A clock that stands still until it is moved, and timers that go off as it passes them, in order.
 * Published with this module's tests for those of the other modules.
 */
public final class ManualTimers implements Timers {

  private record Due(long at, long number, Runnable then) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
    }
  }

  private final PriorityQueue<Due> due = new PriorityQueue<>();
  private long now = 1_000;
  private long numbers;

  @Override
  public long now() {
    return now;
  }

  @Override
  public Timer after(long ms, Runnable then) {
    Due one = new Due(now + Math.max(0, ms), numbers++, then);
    due.add(one);
    return () -> due.remove(one);
  }

  @Override
  public void soon(Runnable then) {
    after(0, then);
  }

  /** Moves the clock, running what falls due on the way. */
  public void pass(long ms) {
    long end = now + ms;
    while (!due.isEmpty() && due.peek().at() <= end) {
      Due next = due.poll();
      now = Math.max(now, next.at());
      next.then().run();
    }
    now = end;
  }

  /** Moves the clock at one go: what fell due on the way runs late, at the end. */
  public void jump(long ms) {
    now += ms;
    pass(0);
  }

  /** How many timers are set. */
  public int waiting() {
    return due.size();
  }

  /** Runs the next thing due, moving the clock to it; false if there is none. */
  public boolean step() {
    Due next = due.poll();
    if (next == null) {
      return false;
    }
    now = Math.max(now, next.at());
    next.then().run();
    return true;
  }
}
