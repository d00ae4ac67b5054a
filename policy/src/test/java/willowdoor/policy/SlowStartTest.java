package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Status;

/**
 * Share of a steady stream of requests that goes to a backend that has just started, with a
 * simulated clock.
 */
class SlowStartTest {

  @Test
  void warmingBackendGetsItsShareOfRequests() {
    Context ctx = new Context(PolicyHarness.settings(true, 100, false), 5);
    ctx.now = 1_000_000;
    ctx.load.servingBackends = 10;
    List<Backend> usual = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      usual.add(new Backend(ctx, i));
    }
    SlowStart room = new SlowStart(ctx, usual);
    for (int i = 0; i < 2000; i++) {
      ctx.now += 10;
      room.onSend(usual.get(i % 10));
      ctx.load.onAnswer(100, ctx.now);
      assertTrue(room.maySend(usual.get(1)), "a warm backend is not limited");
    }
    Backend cold = usual.get(0);
    cold.startedMs = cold.warmUpCreditedAt = ctx.now;
    room.onSubsetChanged();
    int sent = 0;
    for (int i = 0; i < 500; i++) {
      ctx.now += 10;
      boolean has = room.maySend(cold);
      room.onSend(has ? cold : usual.get(1));
      ctx.load.onAnswer(100, ctx.now);
      sent += has ? 1 : 0;
    }
    // 500 requests for ten backends, one of which has 0.2 to 0.6 of a warm backend's capacity: an
    // even share is 50 requests, its warm-up share is 21.
    assertTrue(sent >= 17 && sent <= 25, sent + " requests sent to the cold backend");
  }

  // The warm-up begins after the last failed connect, not after the first, because the backend may
  // have been down for long.
  @Test
  void warmUpBeginsAtTheLastFailedConnect() {
    Context ctx = new Context(PolicyHarness.settings(true, 100, false), 5);
    ctx.now = 1_000_000;
    Backend away = new Backend(ctx, 1);
    away.zoneFailureRate =
        away.cellFailureRate =
            new MovingAverage(Backend.SAMPLE_WEIGHT, LoadEstimate.DECAY_MS, ctx.now, 0);
    for (int i = 0; i < 5; i++) {
      away.onOutcome(new Outcome("r" + i, 0, 1, Status.UNREACHABLE, 5, false, 0, null), ctx.now, 0);
      assertEquals(ctx.settings.rules().warmUpStartShare(), away.warmUpShare(), 1e-9);
      ctx.now += 2000;
    }
  }

  // Real ids use 63 bits; a fraction added to such a number as a double would be lost.
  @Test
  void initialCreditsOfGatewaysAreSpreadEvenlyForAnyBackendId() {
    for (long id : new long[] {3, 0x7c1f_30d2_7a5b_e964L, Long.MAX_VALUE}) {
      double[] phases = new double[100];
      for (int self = 0; self < phases.length; self++) {
        Context ctx =
            new Context(PolicyHarness.settings(true, phases.length, false, self), 5 + self);
        phases[self] = new Backend(ctx, id).warmUpCredits;
      }
      Arrays.sort(phases);
      for (int i = 0; i < phases.length; i++) {
        assertEquals((i + 0.5) / phases.length, phases[i], 0.05, "phase " + i + " at " + id);
      }
    }
  }
}
