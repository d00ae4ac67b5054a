package willowdoor.members;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Timers after which suspected members are regarded as failed. Each further accuser shortens the
 * time-out.
 */
final class Suspicions {

  private record Timer(int member, long began, int members, int expected, long ends) {}

  private static final Comparator<Timer> NEXT =
      Comparator.comparingLong(Timer::ends).thenComparingInt(Timer::member);

  private final Timing timing;
  private final Map<Integer, Timer> timers = new HashMap<>();
  private final TreeSet<Timer> order = new TreeSet<>(NEXT);

  Suspicions(Timing timing) {
    this.timing = timing;
  }

  /**
   * Starts the timer.
   *
   * @param members number of present members, including this one and the suspected one
   */
  void begin(Statement suspect, int members, long now) {
    int expected = Math.max(0, Math.min(timing.confirmations(), members - 2));
    put(new Timer(suspect.member(), now, members, expected, 0), suspect.accusers().size());
  }

  /** Shortens the time-out after further members have accused the suspect. */
  void updateAccusers(Statement suspect) {
    Timer timer = timers.get(suspect.member());
    if (timer != null) {
      put(timer, suspect.accusers().size());
    }
  }

  private void put(Timer timer, int accusers) {
    end(timer.member());
    int confirmed = Math.min(timer.expected(), Math.max(0, accusers - 1));
    add(
        new Timer(
            timer.member(),
            timer.began(),
            timer.members(),
            timer.expected(),
            timer.began() + timing.suspicionMs(timer.members(), confirmed, timer.expected())));
  }

  private void add(Timer timer) {
    timers.put(timer.member(), timer);
    order.add(timer);
  }

  void end(int member) {
    Timer timer = timers.remove(member);
    if (timer != null) {
      order.remove(timer);
    }
  }

  /** When the next timer expires; {@link Long#MAX_VALUE} if there is none. */
  long nextExpiry() {
    return order.isEmpty() ? Long.MAX_VALUE : order.first().ends();
  }

  /** Removes an expired timer and returns its member; -1 if there is none. */
  int pollExpired(long now) {
    if (nextExpiry() > now) {
      return -1;
    }
    int member = order.first().member();
    end(member);
    return member;
  }

  /** Extends all timers by the time for which this process was stalled. */
  void postpone(long ms) {
    List<Timer> all = new ArrayList<>(order);
    order.clear();
    all.forEach(
        t -> add(new Timer(t.member(), t.began() + ms, t.members(), t.expected(), t.ends() + ms)));
  }
}
