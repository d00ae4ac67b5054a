package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Status;

/** What pressure refuses of classes that differ in worth; time is moved by hand. */
class PressureTest {

  private static final double AIM_MS = 1000;
  private double now = 1_000_000;

  private void answered(Pressure pressure, double latencyMs) {
    pressure.outNow++;
    Outcome ok = new Outcome("r", 0, 1, Status.OK, latencyMs, true, 0, null);
    pressure.ended(ok, now - latencyMs, AIM_MS, 0, now);
  }

  /** Of 2,000 requests, every other one cheap, how many of each kind pass a wait that only the dear bear. */
  private int[] passed(double latencyMs) {
    Pressure pressure = new Pressure(Fixtures.settings(true, 100, false));
    int[] passed = new int[2];
    for (int i = 0; i < 2000; i++, now += 20) {
      boolean cheap = i % 2 == 0;
      pressure.met(cheap ? 1 : 5, 1, now);
      answered(pressure, latencyMs);
      passed[cheap ? 0 : 1] += pressure.sheds(cheap ? "preview" : "seal", cheap ? 1 : 5, now) ? 0 : 1;
    }
    return passed;
  }

  @Test
  void theCheapClassKeepsItsPartOfWhatPasses() {
    int[] passed = passed((Pressure.LOW + Pressure.HIGH) / 2 * AIM_MS);
    double part = 2.0 * passed[0] / (passed[0] + passed[1]);
    assertTrue(passed[1] > 980, passed[1] + " of 1,000 dear ones passed");
    assertTrue(part > 0.7 && part < 0.85, part + " of the share of all is what the cheap class was let pass");
  }

  @Test
  void aWaitThatIsNotThereRefusesNobodyThoughServiceWasSlowBefore() {
    Pressure pressure = new Pressure(Fixtures.settings(true, 100, false));
    pressure.service = 2 * Pressure.HIGH * AIM_MS;
    for (int i = 0; i < 100; i++, now += 100) {
      answered(pressure, Pressure.LOW / 2 * AIM_MS);
    }
    assertTrue(!pressure.pressed(1, 0, now), "pressed by " + pressure.expectedOfAim(now));
  }
}
