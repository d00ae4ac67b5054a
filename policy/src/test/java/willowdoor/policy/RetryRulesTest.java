package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import willowdoor.policy.GatewayApi.Fail;
import willowdoor.policy.GatewayApi.Refuse;
import willowdoor.policy.GatewayApi.Send;
import willowdoor.policy.GatewayApi.Status;

/**
 * Which retries may follow an attempt that may have run, by the retry safety of the request class:
 * an unsafe request is not retried, a keyed request is retried only within its deduplication scope
 * and window.
 */
class RetryRulesTest {

  private static final double WINDOW_MS = 3_000;

  private final PolicyHarness policy = PolicyHarness.withSharedCounter();

  /** Ends every attempt with the given status until the request is answered. Returns all sends. */
  private List<Send> attemptUntilAnswered(String type, Status status) {
    policy.allActions.clear();
    policy.request(type, "unlimited", 1);
    for (int i = 0; i < sends().size(); i++) {
      policy.advanceClock(10);
      policy.outcome(sends().get(i), i, status, false);
      policy.runTimer(500);
    }
    return sends();
  }

  private List<Send> sends() {
    return policy.allActions.stream().filter(Send.class::isInstance).map(Send.class::cast).toList();
  }

  private long count(Class<?> type) {
    return policy.allActions.stream().filter(type::isInstance).count();
  }

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "OK")
  void unsafeRequestIsRetriedOrRefusedOnlyIfItNeverRan(Status status) {
    for (int i = 0; i < 50; i++) {
      List<Send> sends = attemptUntilAnswered("unsafe", status);
      assertEquals(1, count(Refuse.class) + count(Fail.class));
      assertTrue(
          status.provesNotRun() || sends.size() == 1 && count(Refuse.class) == 0,
          status.toString());
      assertTrue(sends.size() <= 4, "more attempts than the maximum");
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"cell", "zone"})
  void keyedRequestIsRetriedOnlyInItsScopeAndWindowAndNeverRefused(String type) {
    int repeats = 0;
    for (int i = 0; i < 50; i++) {
      double first = policy.now;
      List<Send> sends = attemptUntilAnswered(type, Status.RESET);
      assertEquals(0, count(Refuse.class));
      assertEquals(1, count(Fail.class));
      assertEquals(Double.POSITIVE_INFINITY, sends.get(0).writtenByMs());
      repeats += sends.size() - 1;
      for (Send s : sends.subList(1, sends.size())) {
        assertEquals(first + WINDOW_MS - PendingRequest.DEADLINE_MARGIN_MS, s.writtenByMs(), 1e-6);
        assertTrue(
            type.equals("cell")
                ? s.backend() == sends.get(0).backend()
                : s.backend() % 2 == sends.get(0).backend() % 2,
            "retried outside the deduplication scope");
      }
    }
    assertTrue(repeats > 0);
  }

  /**
   * An attempt that provably never ran does not restrict the backends and does not begin the
   * window.
   */
  @Test
  void windowBeginsWithTheFirstAttemptThatMayHaveRun() {
    policy.request("zone", "unlimited", 1);
    policy.advanceClock(50).outcome(policy.lastAction(Send.class), 0, Status.REJECTED, false);
    assertEquals(Double.POSITIVE_INFINITY, policy.lastAction(Send.class).writtenByMs());
    double began = policy.now;
    policy.advanceClock(20).outcome(policy.lastAction(Send.class), 1, Status.ERROR, false);
    assertEquals(
        began + WINDOW_MS - PendingRequest.DEADLINE_MARGIN_MS,
        policy.lastAction(Send.class).writtenByMs(),
        1e-6);
  }

  @ParameterizedTest
  @ValueSource(ints = {2_984, 2_986})
  void noAttemptBeginsAfterTheWindow(int after) {
    policy.request("zone", "unlimited", 1);
    Send first = policy.lastAction(Send.class);
    policy.now += after;
    policy.outcome(first, 0, Status.ERROR, false);
    assertEquals(after < WINDOW_MS - PendingRequest.DEADLINE_MARGIN_MS, policy.emitted(Send.class));
    assertFalse(policy.emitted(Refuse.class));
  }

  /** An outcome that arrives after the client has disconnected starts no further attempt. */
  @ParameterizedTest
  @EnumSource
  void outcomeAfterClientDisconnectStartsNothing(Status status) {
    for (boolean requestDone : new boolean[] {true, false}) {
      PolicyHarness policy = PolicyHarness.withSharedCounter();
      String id = policy.request("safe", "unlimited", 1);
      Send first = policy.lastAction(Send.class);
      policy.on(new GatewayApi.ClientDisconnected(id));
      policy.outcome(first, 0, status, requestDone);
      assertEquals(List.of(), policy.lastActions);
      assertFalse(policy.runTimer(1_000).emitted(Send.class));
    }
  }
}
