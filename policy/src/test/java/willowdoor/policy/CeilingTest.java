package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import willowdoor.policy.GatewayApi.Action;
import willowdoor.policy.GatewayApi.AddToCounter;
import willowdoor.policy.GatewayApi.CounterResult;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.Send;
import willowdoor.policy.GatewayApi.Status;

/**
 * Several gateways with one shared counter whose calls time out and whose counts get lost, and
 * gateways that restart: the sends of all must stay below the ceiling.
 */
class CeilingTest {

  private final Map<String, Double> counts = new HashMap<>();
  private double bucket;
  private double bucketUpdatedAt;
  private double lowestLevel;
  private int sentCount;
  private int units;

  @Test
  void ceilingHoldsDespiteFailedCallsRestartsAndLostCounts() {
    for (int seed = 0; seed < 40; seed++) {
      simulate(seed);
      assertTrue(
          lowestLevel >= -PolicyHarness.WITH_CEILING.ceilingSlack(),
          "seed " + seed + ": ceiling level " + lowestLevel);
      assertTrue(sentCount > 50, "seed " + seed + ": only " + sentCount + " sent");
    }
  }

  private void simulate(int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    counts.clear();
    lowestLevel = bucket = PolicyHarness.WITH_CEILING.ceilingBurst();
    bucketUpdatedAt = 1_000_000;
    sentCount = 0;
    PolicyHarness[] gateways = new PolicyHarness[2];
    double failureRate = random.nextDouble();
    for (int step = 0; step < 3000; step++) {
      double now = 1_000_000 + step * 25.0;
      int i = random.nextInt(2);
      if (gateways[i] == null || random.nextDouble() < 0.001) {
        gateways[i] = new PolicyHarness(PolicyHarness.settings(true, 2, false), now);
        gateways[i].backends(4);
      }
      if (random.nextDouble() < 0.002) {
        counts.clear();
      }
      gateways[i].now = now;
      units = 1 + random.nextInt(4);
      gateways[i].on(new Request("s" + step, "safe", "with-ceiling", 42, 2, units, now + 4000));
      perform(gateways[i], gateways[i].lastActions, random, step % 400 < 200 ? failureRate : 0);
    }
  }

  private void perform(
      PolicyHarness gateway, List<Action> actions, SplittableRandom random, double failureRate) {
    for (Action action : actions) {
      if (action instanceof AddToCounter a) {
        boolean fails = random.nextDouble() < failureRate;
        boolean adds = !fails || random.nextBoolean();
        double total = adds ? counts.merge(a.name(), a.amount(), Double::sum) : 0;
        Status status = fails ? Status.TIMED_OUT : Status.OK;
        gateway.on(new CounterResult(a.name(), status, total, 2));
        perform(gateway, gateway.lastActions, random, failureRate);
      } else if (action instanceof Send s) {
        serve(gateway.now, gateway, s);
      }
    }
  }

  private void serve(double now, PolicyHarness gateway, Send s) {
    double filled =
        bucket + PolicyHarness.WITH_CEILING.ceilingRate() * (now - bucketUpdatedAt) / 1000;
    bucket = Math.min(PolicyHarness.WITH_CEILING.ceilingBurst(), filled);
    bucketUpdatedAt = now;
    bucket -= units;
    lowestLevel = Math.min(lowestLevel, bucket);
    sentCount++;
    gateway.on(new Outcome(s.request(), 0, s.backend(), Status.OK, 50, true, 1, null));
  }
}
