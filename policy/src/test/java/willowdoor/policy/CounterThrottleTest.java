package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import willowdoor.policy.GatewayApi.Status;

/**
 * Share of requests that call a counter that fails, is down and recovers, with a simulated clock.
 */
class CounterThrottleTest {

  private final Context ctx = new Context(PolicyHarness.settings(true, 100, false), 5);
  private final CounterThrottle throttle = new CounterThrottle(ctx);

  private void callEnds(Status status) {
    ctx.now += 31;
    throttle.onResult(status);
  }

  private int calls(int tries, double stepMs) {
    int calls = 0;
    for (int i = 0; i < tries; i++) {
      ctx.now += stepMs;
      calls += throttle.mayCall() ? 1 : 0;
    }
    return calls;
  }

  @Test
  void failuresReduceCallShareOncePerTimeoutAndAnswersRaiseIt() {
    callEnds(Status.TIMED_OUT);
    throttle.onResult(Status.TIMED_OUT);
    assertEquals(
        0.7, throttle.callShare, 1e-9, "two failures at the same time reduce the share once");
    int calls = calls(1000, 0);
    assertTrue(calls > 640 && calls < 760, calls + " of 1000 call");
    callEnds(Status.RESET);
    assertEquals(0.7, throttle.callShare, 1e-9, "an invalid answer is no sign of overload");
    callEnds(Status.OK);
    assertTrue(throttle.callShare > 0.7 && throttle.callShare < 0.8);
  }

  @Test
  void unreachableCounterIsProbedAndCallsResumeSlowly() {
    for (int i = 0; i < 4; i++) {
      callEnds(Status.TIMED_OUT);
    }
    int trials = calls(4000, 5);
    assertTrue(
        trials >= 30 && trials <= 54, "probes in 20 s at intervals of 375 to 625 ms: " + trials);
    callEnds(Status.OK);
    assertEquals(0.3, throttle.callShare, 1e-9);
  }
}
