package elmsail.runtime;

import java.util.ArrayList;
import java.util.List;

/** A clock moved by hand, with its timers. */
public final class MovedClock implements Timers {

  private final class Set implements Timer {
    private final long at;
    private final Runnable then;

    Set(long at, Runnable then) {
      this.at = at;
      this.then = then;
    }

    @Override
    public void cancel() {
      set.remove(this);
    }
  }

  private final List<Set> set = new ArrayList<>();
  private long now = 5_000;

  @Override
  public long now() {
    return now;
  }

  @Override
  public Timer after(long ms, Runnable then) {
    Set one = new Set(now + Math.max(0, ms), then);
    set.add(one);
    return one;
  }

  @Override
  public void soon(Runnable then) {
    after(0, then);
  }

  /** How many timers are set. */
  public int waiting() {
    return set.size();
  }

  public void pass(long ms) {
    long end = now + ms;
    while (true) {
      Set next = null;
      for (Set one : set) {
        if (one.at <= end && (next == null || one.at < next.at)) {
          next = one;
        }
      }
      if (next == null) {
        now = end;
        return;
      }
      set.remove(next);
      now = Math.max(now, next.at);
      next.then.run();
    }
  }
}
