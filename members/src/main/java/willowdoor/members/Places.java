package willowdoor.members;

import java.util.Arrays;

/**
 * What routing and limits may go by: how many front doors share the work, and which of them this
 * one is. Members that are absent are left out late and at a limited rate, and taken back in at
 * once; nobody is left out by a front door that is cut off. A plain state machine; times in
 * milliseconds of a clock that never goes back.
 */
public final class Places {

  /**
   * What to go by.
   *
   * @param count front doors that spread the work among them, at least 1
   * @param place this one's among those, from 0, in the roster's order
   * @param sharers among how many to cut what adds up over all front doors: none that may still
   *     take its part is left out, so two sides of a cut together never take more than the whole
   */
  public record Place(int count, int place, int sharers) {}

  private final int self;
  private final long holdMs;

  /** Since when each member has been absent, and since when it has said that it left; or -1. */
  private final long[] absentSince;

  private final long[] leftSince;
  private long grownAt;
  private boolean cutOff = true;
  private Place place;

  /**
   * Begins as the roster says.
   *
   * @param holdMs a member is left out once it was absent for so long, and no sooner than this
   *     after others were left out; longer than a front door goes on serving after it said that it
   *     leaves
   */
  Places(int size, int self, long holdMs) {
    this.self = self;
    this.holdMs = holdMs;
    absentSince = new long[size];
    leftSince = new long[size];
    Arrays.fill(absentSince, -1);
    Arrays.fill(leftSince, -1);
    grownAt = Long.MIN_VALUE / 2;
    place = ofRoster();
  }

  private Place ofRoster() {
    return new Place(absentSince.length, self, absentSince.length);
  }

  /** A statement of the member holds now. */
  void changed(int member, MemberState state, long now) {
    absentSince[member] =
        state.present() ? -1 : absentSince[member] < 0 ? now : absentSince[member];
    leftSince[member] =
        state != MemberState.LEFT ? -1 : leftSince[member] < 0 ? now : leftSince[member];
  }

  void cutOff(boolean is) {
    cutOff = is;
  }

  /**
   * Looks again; true where what to go by has changed. To be called after each change, and each
   * second or so.
   */
  boolean look(long now) {
    Place before = place;
    // Whoever is back is counted at once, whoever has gone only if the rate allows.
    boolean mayGrow = now - grownAt >= holdMs;
    Place wanted = cutOff ? ofRoster() : wanted(now);
    int count = mayGrow ? wanted.count() : Math.max(wanted.count(), before.count());
    int sharers = mayGrow ? wanted.sharers() : Math.max(wanted.sharers(), before.sharers());
    boolean grows = count < before.count() || sharers < before.sharers();
    if (grows) {
      grownAt = now;
    }
    place =
        count == wanted.count()
            ? new Place(count, wanted.place(), sharers)
            : new Place(count, before.place(), sharers);
    return !place.equals(before);
  }

  private Place wanted(long now) {
    int count = 0;
    int sharers = 0;
    int mine = 0;
    for (int i = 0; i < absentSince.length; i++) {
      mine = i == self ? count : mine;
      count += i == self || absentSince[i] < 0 || now - absentSince[i] < holdMs ? 1 : 0;
      sharers += i == self || leftSince[i] < 0 || now - leftSince[i] < holdMs ? 1 : 0;
    }
    return new Place(count, mine, sharers);
  }

  /** What to go by. */
  public Place place() {
    return place;
  }
}
