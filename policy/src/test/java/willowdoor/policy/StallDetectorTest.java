package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the detection of pauses by late timers, with a simulated clock. */
class StallDetectorTest {

  private final StallDetector detector = new StallDetector();

  @Test
  void lateTimerIsAPauseAndVeryLateTimerIsAStall() {
    detector.nextWakeAt = 1000;
    detector.onEvent(1030);
    assertEquals(0, detector.totalPauseMs, "a delay of 30 ms is no pause");
    detector.onEvent(1070);
    assertEquals(70, detector.totalPauseMs);
    assertFalse(detector.isStalled(1070));
    assertEquals(70, detector.pauseAfter(900, 1080), "sent before the pause");
    assertEquals(40, detector.pauseAfter(1030, 1080), "sent during the pause");
    assertEquals(
        0, detector.pauseAfter(900, 1101), "a response long after the pause was not delayed by it");
    detector.nextWakeAt = 1100;
    detector.onEvent(1201);
    assertTrue(detector.isStalled(1201));
    assertFalse(detector.isStalled(1202));
  }
}
