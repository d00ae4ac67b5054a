package willowdoor.front.requests;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the limits of waits that follow from a request's time. */
class BudgetTest {

  private final Budget budget = Budget.of(1_000, 400);

  @Test
  void waitIsLimitedByItsOwnLimitOrTheRequestsEnd() {
    assertEquals(50, budget.limitMs(50, 1_000));
    assertEquals(30, budget.limitMs(50, 1_370));
    assertEquals(0, budget.limitMs(50, 1_400));
    assertEquals(0, budget.limitMs(50, 9_000));
  }

  @Test
  void finalAnswerIsDueBeforeTheEndAndNeverAfterIt() {
    assertEquals(394, budget.finalAnswerDelayMs(1_000));
    assertEquals(0, budget.finalAnswerDelayMs(1_395));
  }

  @Test
  void fractionLeftFallsFromOneToZero() {
    assertEquals(1, budget.fractionLeft(990));
    assertEquals(0.25, budget.fractionLeft(1_300));
    assertEquals(0, budget.fractionLeft(2_000));
    assertEquals(0, Budget.of(1_000, 0).fractionLeft(1_000));
  }

  @Test
  void capShortensTheBudgetAndNeverExtendsIt() {
    assertEquals(new Budget(1_000, 1_200), budget.cappedAt(1_200));
    assertEquals(budget, budget.cappedAt(5_000));
  }
}
