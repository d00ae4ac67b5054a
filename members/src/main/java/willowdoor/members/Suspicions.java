package willowdoor.members;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** When those suspected have failed: the time shrinks with each member that accuses on its own. */
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

  /** Begins anew; members are those that are present, this one and the suspected one among them. */
  void begin(Statement suspect, int members, long now) {
    int expected = Math.max(0, Math.min(timing.confirmations(), members - 2));
    put(new Timer(suspect.member(), now, members, expected, 0), suspect.accusers().size());
  }

  /** More members accuse it now. */
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

  /** When the next one ends. */
  long nextExpiry() {
    return order.isEmpty() ? Long.MAX_VALUE : order.first().ends();
  }

  /** Takes one that has ended out; -1 where there is none. */
  int pollExpired(long now) {
    if (nextExpiry() > now) {
      return -1;
    }
    int member = order.first().member();
    end(member);
    return member;
  }

  /** All have that much more time: this process was held up. */
  void postpone(long ms) {
    List<Timer> all = new ArrayList<>(order);
    order.clear();
    all.forEach(
        t -> add(new Timer(t.member(), t.began() + ms, t.members(), t.expected(), t.ends() + ms)));
  }
}
