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

/** What may follow an attempt that may have run, by the class's effect (rule 2 of the wire). */
class RetryRulesTest {

  private static final double WINDOW_MS = 3_000;

  private final PolicyHarness f = PolicyHarness.counted();

  /** Lets attempts end so until the request is answered; gives all sends. */
  private List<Send> play(String type, Status status) {
    f.all.clear();
    f.request(type, "free", 1);
    for (int i = 0; i < sends().size(); i++) {
      f.pass(10);
      f.outcome(sends().get(i), i, status, false);
      f.run(500);
    }
    return sends();
  }

  private List<Send> sends() {
    return f.all.stream().filter(Send.class::isInstance).map(Send.class::cast).toList();
  }

  private long count(Class<?> type) {
    return f.all.stream().filter(type::isInstance).count();
  }

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "OK")
  void oneNotToBeRepeatedIsSentAgainOrRefusedOnlyWhereItNeverRan(Status status) {
    for (int i = 0; i < 50; i++) {
      List<Send> sends = play("unsafe", status);
      assertEquals(1, count(Refuse.class) + count(Fail.class));
      assertTrue(
          status.provesNotRun() || sends.size() == 1 && count(Refuse.class) == 0,
          status.toString());
      assertTrue(sends.size() <= 4, "MaxAttempts");
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"cell", "zone"})
  void aKeyedOneKeepsToItsGroupAndWindowAndIsNotRefused(String type) {
    int repeats = 0;
    for (int i = 0; i < 50; i++) {
      double first = f.now;
      List<Send> sends = play(type, Status.RESET);
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
            "left its group");
      }
    }
    assertTrue(repeats > 0);
  }

  /** What proves that it never ran binds nothing, and its send does not begin the window. */
  @Test
  void theWindowBeginsWithTheFirstThatMayHaveRun() {
    f.request("zone", "free", 1);
    f.pass(50).outcome(f.only(Send.class), 0, Status.REJECTED, false);
    assertEquals(Double.POSITIVE_INFINITY, f.only(Send.class).writtenByMs());
    double began = f.now;
    f.pass(20).outcome(f.only(Send.class), 1, Status.ERROR, false);
    assertEquals(
        began + WINDOW_MS - PendingRequest.DEADLINE_MARGIN_MS,
        f.only(Send.class).writtenByMs(),
        1e-6);
  }

  @ParameterizedTest
  @ValueSource(ints = {2_984, 2_986})
  void noFurtherOneBeginsPastTheWindow(int after) {
    f.request("zone", "free", 1);
    Send first = f.only(Send.class);
    f.now += after;
    f.outcome(first, 0, Status.ERROR, false);
    assertEquals(after < WINDOW_MS - PendingRequest.DEADLINE_MARGIN_MS, f.did(Send.class));
    assertFalse(f.did(Refuse.class));
  }

  /** An end that is told after the client has gone begins nothing. */
  @ParameterizedTest
  @EnumSource
  void nothingFollowsTheClientsLeave(Status status) {
    for (boolean over : new boolean[] {true, false}) {
      PolicyHarness f = PolicyHarness.counted();
      String id = f.request("safe", "free", 1);
      Send first = f.only(Send.class);
      f.on(new GatewayApi.ClientDisconnected(id));
      f.outcome(first, 0, status, over);
      assertEquals(List.of(), f.last);
      assertFalse(f.run(1_000).did(Send.class));
    }
  }
}
