package willowdoor.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The share of work that routing and limits use. */
class WorkAllocationTest {

  private static final long HOLD_MS = 10_000;

  @Test
  void absentMembersAreExcludedAfterTheHoldTimeAndReturningOnesIncludedAtOnce() {
    WorkAllocation allocation = new WorkAllocation(10, 7, HOLD_MS);
    allocation.changed(3, MemberState.FAILED, 0);
    allocation.changed(4, MemberState.LEFT, 0);
    assertFalse(allocation.update(HOLD_MS), "isolated members keep the full roster");
    allocation.isolated(false);
    assertTrue(allocation.update(HOLD_MS));
    assertEquals(new WorkAllocation.Share(8, 5, 9), allocation.share());
    allocation.changed(4, MemberState.JOINING, HOLD_MS + 1);
    assertTrue(allocation.update(HOLD_MS + 1));
    assertEquals(new WorkAllocation.Share(9, 6, 10), allocation.share());
    allocation.isolated(true);
    assertTrue(allocation.update(HOLD_MS + 2));
    assertEquals(new WorkAllocation.Share(10, 7, 10), allocation.share());
  }

  @Test
  void flappingMemberDoesNotChangeTheShare() {
    WorkAllocation allocation = new WorkAllocation(10, 7, HOLD_MS);
    allocation.isolated(false);
    for (int s = 0; s < 100; s++) {
      allocation.changed(3, s % 2 == 0 ? MemberState.FAILED : MemberState.ALIVE, s * 1_000L);
      assertFalse(allocation.update(s * 1_000L));
    }
  }

  /**
   * Random partitions of a fleet in which some members have failed or left. Each present member
   * computes its share from its own view; the parts of a fleet-wide limit must not add up to more
   * than the limit.
   */
  @Test
  void sharesOnBothSidesOfAPartitionNeverExceedTheWhole() {
    SplittableRandom random = new SplittableRandom(5);
    for (int round = 0; round < 300; round++) {
      int size = 3 + random.nextInt(20);
      int firstSide = random.nextInt(size + 1);
      double taken = 0;
      MemberState[] truth = new MemberState[size];
      for (int i = 0; i < size; i++) {
        truth[i] = MemberState.of(random.nextInt(10) < 7 ? 1 : 3 + random.nextInt(2));
      }
      for (int i = 0; i < size; i++) {
        WorkAllocation allocation = new WorkAllocation(size, i, HOLD_MS);
        int presentMembers = 0;
        for (int j = 0; j < size; j++) {
          boolean sameSide = i < firstSide == j < firstSide;
          presentMembers += sameSide && truth[j].present() ? 1 : 0;
          MemberState known =
              sameSide || truth[j] == MemberState.LEFT ? truth[j] : MemberState.FAILED;
          allocation.changed(j, known, random.nextInt(50));
        }
        allocation.isolated(presentMembers <= size / 2);
        allocation.update(HOLD_MS + random.nextInt(100));
        taken += truth[i].present() ? 1.0 / allocation.share().limitDivisor() : 0;
        assertTrue(allocation.share().index() < allocation.share().count());
      }
      assertTrue(taken <= 1 + 1e-9, "parts of the limit add up to " + taken);
    }
  }
}
