package willowdoor.members;

import java.util.Arrays;

/**
 * The basis on which routing and limits divide work between front doors: the number of front doors
 * that share the work, and the index of this front door among them. An absent member is excluded
 * only after a hold time and at a limited rate, and is included again as soon as it returns. An
 * isolated front door excludes no member. A plain state machine; times are in milliseconds of a
 * monotonic clock.
 */
public final class WorkAllocation {

  /**
   * This front door's share of the work.
   *
   * @param count number of front doors that share the work, at least 1
   * @param index this front door's index among those, from 0, in the roster's order
   * @param limitDivisor the number by which limits that apply to the whole fleet are divided. A
   *     member that may still use its part is never excluded, so both sides of a partition together
   *     never use more than the whole limit
   */
  public record Share(int count, int index, int limitDivisor) {}

  private final int self;
  private final long holdMs;

  /** When each member became absent; -1 for a present member. */
  private final long[] absentSince;

  /** When each member announced that it left; -1 for a member that did not. */
  private final long[] leftSince;

  private long lastReductionAt;
  private boolean isolated = true;
  private Share share;

  /**
   * Starts with the share of the full roster.
   *
   * @param holdMs a member is excluded once it has been absent for this long, and no sooner than
   *     this long after the previous exclusion. Longer than a front door continues to serve after
   *     it announced that it leaves
   */
  WorkAllocation(int size, int self, long holdMs) {
    this.self = self;
    this.holdMs = holdMs;
    absentSince = new long[size];
    leftSince = new long[size];
    Arrays.fill(absentSince, -1);
    Arrays.fill(leftSince, -1);
    lastReductionAt = Long.MIN_VALUE / 2;
    share = shareOfFullRoster();
  }

  private Share shareOfFullRoster() {
    return new Share(absentSince.length, self, absentSince.length);
  }

  /** Records the current state of the member. */
  void changed(int member, MemberState state, long now) {
    absentSince[member] =
        state.present() ? -1 : absentSince[member] < 0 ? now : absentSince[member];
    leftSince[member] =
        state != MemberState.LEFT ? -1 : leftSince[member] < 0 ? now : leftSince[member];
  }

  void isolated(boolean isolated) {
    this.isolated = isolated;
  }

  /**
   * Recomputes the share; returns whether the share has changed. To be called after each change of
   * a member's state and about once a second.
   */
  boolean update(long now) {
    Share previous = share;
    // A member that returned counts at once; a member that left is excluded only within the rate.
    boolean mayReduce = now - lastReductionAt >= holdMs;
    Share target = isolated ? shareOfFullRoster() : targetShare(now);
    int count = mayReduce ? target.count() : Math.max(target.count(), previous.count());
    int limitDivisor =
        mayReduce
            ? target.limitDivisor()
            : Math.max(target.limitDivisor(), previous.limitDivisor());
    boolean reduced = count < previous.count() || limitDivisor < previous.limitDivisor();
    if (reduced) {
      lastReductionAt = now;
    }
    share =
        count == target.count()
            ? new Share(count, target.index(), limitDivisor)
            : new Share(count, previous.index(), limitDivisor);
    return !share.equals(previous);
  }

  private Share targetShare(long now) {
    int count = 0;
    int limitDivisor = 0;
    int ownIndex = 0;
    for (int i = 0; i < absentSince.length; i++) {
      ownIndex = i == self ? count : ownIndex;
      count += i == self || absentSince[i] < 0 || now - absentSince[i] < holdMs ? 1 : 0;
      limitDivisor += i == self || leftSince[i] < 0 || now - leftSince[i] < holdMs ? 1 : 0;
    }
    return new Share(count, ownIndex, limitDivisor);
  }

  public Share share() {
    return share;
  }
}
