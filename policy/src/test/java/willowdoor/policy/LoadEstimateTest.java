package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests a gateway's load estimate with a simulated clock. */
class LoadEstimateTest {

  @Test
  void serviceTimeFollowsAChangeWithinSeconds() {
    LoadEstimate load = new LoadEstimate(PolicyHarness.settings(true, 100, false));
    double now = 1_000_000;
    for (int i = 0; i < 200; i++, now += 250) {
      load.onAnswer(i < 100 ? 400 : 200, now);
    }
    assertEquals(200, load.serviceMs, 1);
    load.onAnswer(400, now);
    assertTrue(load.serviceMs < 215, "service time after one slow response: " + load.serviceMs);
  }
}
