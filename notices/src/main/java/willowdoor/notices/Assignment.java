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
  private SlowReaderPlacement placement = new SlowReaderPlacement(view.members());
  private long changedMs;
  private double moveTokens;
  private long refilledMs;

  /** The highest count seen of each reader; whose is forgotten first came longest ago. */
  private final Map<Long, Long> highestCounts = new LinkedHashMap<>();

  Assignment(int self, Limits limits) {
    this.self = self;
    this.limits = limits;
    this.moveTokens = limits.movesPerSecond() / 2.0;
  }

  /**
   * Takes in the view of the members; anything that differs from the one before begins the wait
   * anew.
   */
  void view(FleetView now, long nowMs) {
    if (!now.equals(view)) {
      changedMs = nowMs;
      placement = new SlowReaderPlacement(now.members());
    }
    view = now;
  }

  FleetView view() {
    return view;
  }

  /** Whether anybody may be moved now. */
  boolean isSettled(long nowMs) {
    return mayMoveReaders() && nowMs - changedMs >= limits.settleMs();
  }

  /** Whether this front door may move readers in such a view. */
  boolean mayMoveReaders() {
    return !view.cutOff() && view.member(self) != null;
  }

  /** Whether an order was decided under the view that holds here. */
  boolean matchesView(MoveOrder order) {
    return order.epoch() == view.epoch() && order.digest() == view.digest();
  }

  /**
   * Decides where a reader goes.
   *
   * @param pace the class it goes as; null: back home
   * @param selfSlow whether this front door itself is slow and therefore must not be the target
   * @param count of the reader's orders so far
   * @param sinceLastMoveMs time since the last move of the reader
   * @return the order; null where nobody may be moved now, or the reader stays
   */
  MoveOrder decide(
      long key,
      long customer,
      PaceClass pace,
      boolean selfSlow,
      int home,
      long count,
      long sinceLastMoveMs,
      long nowMs) {
    long minIntervalMs =
        count == 0 ? 0 : limits.moveIntervalMs() << Math.min(count - 1, MAX_DOUBLINGS);
    if (!isSettled(nowMs) || sinceLastMoveMs < minIntervalMs) {
      return null;
    }
    int target =
        selfSlow ? otherMember(key) : pace == null ? home : placement.memberFor(customer, pace);
    if (target < 0 || target == self || view.member(target) == null) {
      return null;
    }
    return new MoveOrder(view.epoch(), view.digest(), count + 1, key, customer, target, home, pace);
  }

  private int otherMember(long key) {
    int best = -1;
    for (FleetView.Member member : view.members()) {
      if (member.number() != self
          && (best < 0
              || Long.compareUnsigned(
                      SlowReaderPlacement.score(member.number(), key),
                      SlowReaderPlacement.score(best, key))
                  > 0)) {
        best = member.number();
      }
    }
    return best;
  }

  /** Whether this front door is where such readers go by the view. */
  boolean isTargetHere(long customer, PaceClass pace) {
    return placement.memberFor(customer, pace) == self;
  }

  boolean isSelf(int member) {
    return member == self;
  }

  /** Whether an order that was decided a while ago still holds. */
  boolean isValid(MoveOrder order, long nowMs) {
    return isSettled(nowMs) && matchesView(order) && isNewest(order);
  }

  /** Whether a reader may be told its order now; takes from what may be moved in all. */
  boolean tryIssue(MoveOrder order, long nowMs) {
    if (!isValid(order, nowMs)) {
      return false;
    }
    moveTokens =
        Math.min(
            limits.movesPerSecond() / 2.0,
            moveTokens + (nowMs - refilledMs) * limits.movesPerSecond() / 1e3);
    refilledMs = nowMs;
    if (moveTokens < 1) {
      return false;
    }
    moveTokens--;
    remember(order);
    return true;
  }

  /** Whether a reader that comes with an order is taken in as one that was sent here. */
  boolean accept(MoveOrder order, long nowMs) {
    if (order.target() != self || !isValid(order, nowMs)) {
      return false;
    }
    remember(order);
    return true;
  }

  /** Whether an order is newer than all that were seen of that reader. */
  boolean isNewest(MoveOrder order) {
    return order.count() > highestCounts.getOrDefault(order.key(), 0L);
  }

  private void remember(MoveOrder order) {
    highestCounts.remove(order.key());
    highestCounts.put(order.key(), order.count());
    if (highestCounts.size() > REMEMBERED) {
      highestCounts.remove(highestCounts.keySet().iterator().next());
    }
  }
}
