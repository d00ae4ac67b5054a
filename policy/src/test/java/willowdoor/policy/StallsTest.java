package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What late wake-ups tell of this gateway; time is moved by hand. */
class StallsTest {

  private final Stalls stalls = new Stalls();

  @Test
  void aLateWakeUpIsAPauseAndAVeryLateOneAStandStill() {
    stalls.wakeAt = 1000;
    stalls.note(1030);
    assertEquals(0, stalls.heldUpInAll, "30 ms late is in time");
    stalls.note(1070);
    assertEquals(70, stalls.heldUpInAll);
    assertFalse(stalls.stalled(1070));
    assertEquals(70, stalls.heldUp(900, 1080), "sent before the pause");
    assertEquals(40, stalls.heldUp(1030, 1080), "sent within it");
    assertEquals(
        0, stalls.heldUp(900, 1101), "an answer that comes long after it did not wait for it");
    stalls.wakeAt = 1100;
    stalls.note(1201);
    assertTrue(stalls.stalled(1201));
    assertFalse(stalls.stalled(1202));
  }
}
