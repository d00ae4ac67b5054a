package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What late wake-ups tell of this gateway; time is moved by hand. */
class StallDetectorTest {

  private final StallDetector stalls = new StallDetector();

  @Test
  void aLateWakeUpIsAPauseAndAVeryLateOneAStandStill() {
    stalls.nextWakeAt = 1000;
    stalls.onEvent(1030);
    assertEquals(0, stalls.totalPauseMs, "30 ms late is in time");
    stalls.onEvent(1070);
    assertEquals(70, stalls.totalPauseMs);
    assertFalse(stalls.isStalled(1070));
    assertEquals(70, stalls.pauseAfter(900, 1080), "sent before the pause");
    assertEquals(40, stalls.pauseAfter(1030, 1080), "sent within it");
    assertEquals(
        0, stalls.pauseAfter(900, 1101), "an answer that comes long after it did not wait for it");
    stalls.nextWakeAt = 1100;
    stalls.onEvent(1201);
    assertTrue(stalls.isStalled(1201));
    assertFalse(stalls.isStalled(1202));
  }
}
