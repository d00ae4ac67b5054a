package elmsail.runtime;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class InvariantsTest {
  private static final Invariant ONE = Invariant.ACCEPTED_BALLOT_PROMISED;

  private final Counters counters = new Counters();
  private int asked;

  private String detail() {
    asked++;
    return "x".repeat(Invariants.MAX_DETAIL_CHARS * 2);
  }

  @Test
  void countingOnesCountWithoutThrowing() {
    Invariants invariants = Invariants.counting(counters);
    for (int i = 0; i < Invariants.MAX_LOGGED + 3; i++) {
      invariants.check(ONE, false, this::detail);
    }
    assertThat(invariants.violations(ONE), is(Invariants.MAX_LOGGED + 3L));
    assertThat(invariants.violations(), is(Invariants.MAX_LOGGED + 3L));
    assertThat("only the first few are described", asked, is(Invariants.MAX_LOGGED));
    assertThat(
        counters.formatChanges(), is("invariant_" + ONE + "=" + (Invariants.MAX_LOGGED + 3)));
  }

  @Test
  void detailIsNotComputedWhileTheInvariantHolds() {
    Invariants invariants = Invariants.strict(counters);
    invariants.check(ONE, true, this::detail);
    assertThat(asked, is(0));
    assertThat(invariants.violations(), is(0L));
    assertThat(counters.formatChanges(), is(nullValue()));
  }

  @Test
  void strictOnesThrowAndCount() {
    Invariants invariants = Invariants.strict(counters);
    InvariantViolation thrown =
        assertThrows(
            InvariantViolation.class, () -> invariants.check(ONE, false, () -> "ballot 7 over 3"));
    assertThat(thrown.invariant(), is(ONE));
    assertThat(thrown.getMessage(), containsString("ballot 7 over 3"));
    assertThat(invariants.violations(ONE), is(1L));
  }

  @Test
  void aThrowingDetailIsReportedInItsPlace() {
    Invariants invariants = Invariants.counting(counters);
    invariants.check(
        ONE,
        false,
        () -> {
          throw new IllegalStateException("no detail");
        });
    assertThat(invariants.violations(ONE), is(1L));
  }

  @Test
  void processesCountAndTestsThrow() {
    ManualTimers clock = new ManualTimers();
    ProcessMetrics.logged(clock).invariants().check(ONE, false, this::detail);
    assertThat("the line of figures", clock.pendingTimers(), is(1));
    ProcessMetrics.unlogged().invariants().check(ONE, false, this::detail);
    assertThrows(
        InvariantViolation.class,
        () -> ProcessMetrics.strict().invariants().check(ONE, false, this::detail));
  }
}
