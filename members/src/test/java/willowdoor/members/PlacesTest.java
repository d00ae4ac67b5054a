package willowdoor.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What routing and limits go by. */
class PlacesTest {

  private static final long HOLD = 10_000;

  @Test
  void theAbsentAreLeftOutLateAndTakenInAtOnce() {
    Places places = new Places(10, 7, HOLD);
    places.changed(3, MemberState.FAILED, 0);
    places.changed(4, MemberState.LEFT, 0);
    assertFalse(places.look(HOLD), "still cut off");
    places.cutOff(false);
    assertTrue(places.look(HOLD));
    assertEquals(new Places.Place(8, 5, 9), places.place());
    places.changed(4, MemberState.JOINING, HOLD + 1);
    assertTrue(places.look(HOLD + 1));
    assertEquals(new Places.Place(9, 6, 10), places.place());
    places.cutOff(true);
    assertTrue(places.look(HOLD + 2));
    assertEquals(new Places.Place(10, 7, 10), places.place());
  }

  @Test
  void oneThatFlapsChangesNothing() {
    Places places = new Places(10, 7, HOLD);
    places.cutOff(false);
    for (int s = 0; s < 100; s++) {
      places.changed(3, s % 2 == 0 ? MemberState.FAILED : MemberState.ALIVE, s * 1_000L);
      assertFalse(places.look(s * 1_000L));
    }
  }

  /**
   * Members that leave, die and are cut off, each by its own view: what adds up is never more than
   * the whole.
   */
  @Test
  void twoSidesNeverTakeMoreThanTheWhole() {
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
        Places places = new Places(size, i, HOLD);
        int there = 0;
        for (int j = 0; j < size; j++) {
          boolean seen = i < cut == j < cut;
          there += seen && truth[j].present() ? 1 : 0;
          MemberState known = seen || truth[j] == MemberState.LEFT ? truth[j] : MemberState.FAILED;
          places.changed(j, known, random.nextInt(50));
        }
        places.cutOff(there <= size / 2);
        places.look(HOLD + random.nextInt(100));
        taken += truth[i].present() ? 1.0 / places.place().sharers() : 0;
        assertTrue(places.place().place() < places.place().count());
      }
      assertTrue(taken <= 1 + 1e-9, "took " + taken);
    }
  }
}
