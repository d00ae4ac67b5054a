package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Status;

/** What a backend that has just started gets of a steady stream of sends; time is moved by hand. */
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
      assertTrue(room.maySend(usual.get(1)), "a warm one always has room");
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
    // 500 sends for ten, of which one bears 0.2 to 0.6 of a warm one: an even part is 50, the
    // promise 21.
    assertTrue(sent >= 17 && sent <= 25, sent + " sent to the cold one");
  }

  // It starts after the last connect that failed, not after the first: it may have been away for
  // long.
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

  // Real ids fill 63 bits: what is added to one as a fraction must not be lost.
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
