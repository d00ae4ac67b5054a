package willowdoor.notices;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Who may be told to move, where to, and whether an order still counts. An order is good only under
 * the very view it was decided in, at a member that is not cut off, once that view has stood for a
 * while, and once for each reader.
 */
class Assignment {
  private static final int REMEMBERED = 16_384;
  private static final int MAX_DOUBLINGS = 4;

  private final int self;
  private final Limits limits;
  private FleetView view = FleetView.none();
  private Places places = new Places(view.members());
  private long changedMs;
  private double room;
  private long roomMs;

  /** The highest count seen of each reader; whose is forgotten first came longest ago. */
  private final Map<Long, Long> counts = new LinkedHashMap<>();

  Assignment(int self, Limits limits) {
    this.self = self;
    this.limits = limits;
    this.room = limits.movesPerSecond() / 2.0;
  }

  /**
   * Takes in the view of the members; anything that differs from the one before begins the wait
   * anew.
   */
  void view(FleetView now, long nowMs) {
    if (!now.equals(view)) {
      changedMs = nowMs;
      places = new Places(now.members());
    }
    view = now;
  }

  FleetView view() {
    return view;
  }

  /** Whether anybody may be moved now. */
  boolean settled(long nowMs) {
    return allowed() && nowMs - changedMs >= limits.settleMs();
  }

  /** Whether this front door may move readers in such a view. */
  boolean allowed() {
    return !view.cutOff() && view.member(self) != null;
  }

  /** Whether an order was decided under the view that holds here. */
  boolean current(MoveOrder order) {
    return order.epoch() == view.epoch() && order.digest() == view.digest();
  }

  /**
   * Decides where a reader goes.
   *
   * @param pace the class it goes as; null: back home
   * @param away whether this front door itself is the slow one, so that it must not be the target
   * @param count of the reader's orders so far
   * @param restedMs since its last move
   * @return the order; null where nobody may be moved now, or the reader stays
   */
  MoveOrder decide(
      long key,
      long customer,
      PaceClass pace,
      boolean away,
      int home,
      long count,
      long restedMs,
      long nowMs) {
    long rest = count == 0 ? 0 : limits.restMs() << Math.min(count - 1, MAX_DOUBLINGS);
    if (!settled(nowMs) || restedMs < rest) {
      return null;
    }
    int target = away ? elsewhere(key) : pace == null ? home : places.of(customer, pace);
    if (target < 0 || target == self || view.member(target) == null) {
      return null;
    }
    return new MoveOrder(view.epoch(), view.digest(), count + 1, key, customer, target, home, pace);
  }

  private int elsewhere(long key) {
    int best = -1;
    for (FleetView.Member member : view.members()) {
      if (member.number() != self
          && (best < 0
              || Long.compareUnsigned(Places.score(member.number(), key), Places.score(best, key))
                  > 0)) {
        best = member.number();
      }
    }
    return best;
  }

  /** Whether this front door is where such readers go by the view. */
  boolean here(long customer, PaceClass pace) {
    return places.of(customer, pace) == self;
  }

  boolean isHere(int member) {
    return member == self;
  }

  /** Whether an order that was decided a while ago still holds. */
  boolean stands(MoveOrder order, long nowMs) {
    return settled(nowMs) && current(order) && fresh(order);
  }

  /** Whether a reader may be told its order now; takes from what may be moved in all. */
  boolean tell(MoveOrder order, long nowMs) {
    if (!stands(order, nowMs)) {
      return false;
    }
    room =
        Math.min(
            limits.movesPerSecond() / 2.0, room + (nowMs - roomMs) * limits.movesPerSecond() / 1e3);
    roomMs = nowMs;
    if (room < 1) {
      return false;
    }
    room--;
    remember(order);
    return true;
  }

  /** Whether a reader that comes with an order is taken in as one that was sent here. */
  boolean arrive(MoveOrder order, long nowMs) {
    if (order.target() != self || !stands(order, nowMs)) {
      return false;
    }
    remember(order);
    return true;
  }

  /** Whether an order is newer than all that were seen of that reader. */
  boolean fresh(MoveOrder order) {
    return order.count() > counts.getOrDefault(order.key(), 0L);
  }

  private void remember(MoveOrder order) {
    counts.remove(order.key());
    counts.put(order.key(), order.count());
    if (counts.size() > REMEMBERED) {
      counts.remove(counts.keySet().iterator().next());
    }
  }
}
