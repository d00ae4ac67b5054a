package willowdoor.notices;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides which readers move, to which member, and whether a move order is still valid. An order is
 * valid only under the view in which it was decided, at a member that is not cut off, once that
 * view has been unchanged for a while, and once per reader.
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

  /**
   * Highest order count seen per reader, in the order of the last update; the reader whose entry
   * was updated longest ago is removed first.
   */
  private final Map<Long, Long> highestCounts = new LinkedHashMap<>();

  Assignment(int self, Limits limits) {
    this.self = self;
    this.limits = limits;
    this.moveTokens = limits.movesPerSecond() / 2.0;
  }

  /**
   * Applies a view of the members. Any difference from the previous view restarts the settling
   * time.
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

  /** Returns whether readers may be moved now. */
  boolean isSettled(long nowMs) {
    return mayMoveReaders() && nowMs - changedMs >= limits.settleMs();
  }

  /** Returns whether this front door may move readers in the current view. */
  boolean mayMoveReaders() {
    return !view.cutOff() && view.member(self) != null;
  }

  /** Returns whether an order was decided under the view that is current here. */
  boolean matchesView(MoveOrder order) {
    return order.epoch() == view.epoch() && order.digest() == view.digest();
  }

  /**
   * Decides where a reader moves.
   *
   * @param pace the pace class of the slow reader; null if the reader returns to its home front
   *     door
   * @param selfSlow whether this front door itself is slow and therefore must not be the target
   * @param count number of the reader's move orders so far
   * @param sinceLastMoveMs time since the last move of the reader
   * @return the order; null if no reader may be moved now or the reader stays
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

  /** Returns whether this front door is the target for such readers under the current view. */
  boolean isTargetHere(long customer, PaceClass pace) {
    return placement.memberFor(customer, pace) == self;
  }

  boolean isSelf(int member) {
    return member == self;
  }

  /** Returns whether an order that was decided earlier is still valid. */
  boolean isValid(MoveOrder order, long nowMs) {
    return isSettled(nowMs) && matchesView(order) && isNewest(order);
  }

  /**
   * Returns whether a move order may be sent to its reader now. If so, takes one move from the rate
   * limit and records the order.
   */
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

  /** Returns whether a reader that connects with an order is accepted as moved here. */
  boolean accept(MoveOrder order, long nowMs) {
    if (order.target() != self || !isValid(order, nowMs)) {
      return false;
    }
    remember(order);
    return true;
  }

  /** Returns whether an order is newer than all orders seen of its reader. */
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
