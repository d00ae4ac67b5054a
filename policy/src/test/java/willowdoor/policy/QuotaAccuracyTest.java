package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Refuse;
import willowdoor.policy.GatewayApi.Status;
import willowdoor.policy.QuotaSimulation.Result;

/** Compares the decisions of the gateways with the true token bucket of each customer. */
class QuotaAccuracyTest {

  // One of many gateways has few requests in flight; two or three more must not count as overload.
  @Test
  void fewRequestsInFlightAreNotOverload() {
    PolicyHarness f = new PolicyHarness(PolicyHarness.settings(true, 100, false)).backends(60);
    SplittableRandom random = new SplittableRandom(3);
    ArrayDeque<String> out = new ArrayDeque<>();
    int refused = 0;
    for (int i = 0; i < 400; i++) {
      for (int most = 1 + random.nextInt(7); out.size() < most; ) {
        String id = f.request("safe", "unlimited", 1);
        refused += f.emitted(Refuse.class) ? 1 : 0;
        out.add(id);
      }
      f.advanceClock(100);
      for (int left = random.nextInt(2); out.size() > left; ) {
        f.on(new Outcome(out.poll(), 0, 0, Status.OK, 230, true, 0, null));
      }
    }
    assertTrue(
        refused < 10,
        refused
            + " requests refused by a fleet that responds within a quarter of the latency objective");
  }

  /**
   * Gain and served are lower bounds, the other shares are upper bounds. With the earlier windows
   * of one burst, 0.52 of the tries were refused with room and 0.86 were served at 100 gateways;
   * 0.37 and 0.87 at 14 gateways. Corrections of estimated costs reach the count late if a gateway
   * rarely sees the customer. docs/front-open.md lists the open points for a counter that can
   * process half of the calls.
   */
  @ParameterizedTest
  @CsvSource(
      useHeadersInDisplayName = true,
      textBlock =
          """
      gateways, estimateSpread, callsPerSecond, gain, served, overQuota, refusedHalfFull, calls
      100, 0,   20000, 0.88, 0.92, 0.062, 0.16, 1.2
      14,  0,   20000, 0.93, 0.92, 0.04,  0.25, 0.9
      2,   0,   20000, 0.94, 0.92, 0.02,  0.12, 0.9
      100, 0.4, 20000, 0.88, 0.9,  0.076, 0.2,  1.2
      100, 0,   550,   0.83, 0.89, 0.105, 0.36, 0.8
      """)
  void gatewayDecisionsStayCloseToTheTrueQuota(
      int gateways,
      double estimateSpread,
      double callsPerSecond,
      double gain,
      double served,
      double overQuota,
      double refusedHalfFull,
      double calls) {
    Result r = new QuotaSimulation(gateways, 60, estimateSpread, callsPerSecond, 7).run(1, 40);
    assertTrue(r.gainShare() > gain, "gain " + r);
    assertTrue(r.servedShare() > served, "served " + r);
    assertTrue(r.overQuotaShare() < overQuota, "over quota " + r);
    assertTrue(r.refusedHalfFullShare() < refusedHalfFull, "refused half full " + r);
    assertTrue(r.callsPerTry() < calls, "calls " + r);
  }
}
