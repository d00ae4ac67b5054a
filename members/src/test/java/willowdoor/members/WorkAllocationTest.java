package willowdoor.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What routing and limits go by. */
class WorkAllocationTest {

  private static final long HOLD_MS = 10_000;

  @Test
  void absentMembersAreExcludedAfterTheHoldTimeAndReturningOnesIncludedAtOnce() {
    WorkAllocation places = new WorkAllocation(10, 7, HOLD_MS);
    places.changed(3, MemberState.FAILED, 0);
    places.changed(4, MemberState.LEFT, 0);
    assertFalse(places.update(HOLD_MS), "still cut off");
    places.isolated(false);
    assertTrue(places.update(HOLD_MS));
    assertEquals(new WorkAllocation.Share(8, 5, 9), places.share());
    places.changed(4, MemberState.JOINING, HOLD_MS + 1);
    assertTrue(places.update(HOLD_MS + 1));
    assertEquals(new WorkAllocation.Share(9, 6, 10), places.share());
    places.isolated(true);
    assertTrue(places.update(HOLD_MS + 2));
    assertEquals(new WorkAllocation.Share(10, 7, 10), places.share());
  }

  @Test
  void flappingMemberDoesNotChangeTheShare() {
    WorkAllocation places = new WorkAllocation(10, 7, HOLD_MS);
    places.isolated(false);
    for (int s = 0; s < 100; s++) {
      places.changed(3, s % 2 == 0 ? MemberState.FAILED : MemberState.ALIVE, s * 1_000L);
      assertFalse(places.update(s * 1_000L));
    }
  }

  /**
   * Members that leave, die and are cut off, each by its own view: what adds up is never more than
   * the whole.
   */
  @Test
  void sharesOnBothSidesOfAPartitionNeverExceedTheWhole() {
    SplittableRandom random = new SplittableRandom(5);
    for (int round = 0; round < 300; round++) {
      int size = 3 + random.nextInt(20);
      int cut = random.nextInt(size + 1);
      double taken = 0;
      MemberState[] truth = new MemberState[size];
      for (int i = 0; i < size; i++) {
        truth[i] = MemberState.of(random.nextInt(10) < 7 ? 1 : 3 + random.nextInt(2));
      }
      for (int i = 0; i < size; i++) {
        WorkAllocation places = new WorkAllocation(size, i, HOLD_MS);
        int there = 0;
        for (int j = 0; j < size; j++) {
          boolean seen = i < cut == j < cut;
          there += seen && truth[j].present() ? 1 : 0;
          MemberState known = seen || truth[j] == MemberState.LEFT ? truth[j] : MemberState.FAILED;
          places.changed(j, known, random.nextInt(50));
        }
        places.isolated(there <= size / 2);
        places.update(HOLD_MS + random.nextInt(100));
        taken += truth[i].present() ? 1.0 / places.share().limitDivisor() : 0;
        assertTrue(places.share().index() < places.share().count());
      }
      assertTrue(taken <= 1 + 1e-9, "took " + taken);
    }
  }
}
