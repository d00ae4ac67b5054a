package willowdoor.purge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import willowdoor.purge.Explorer.Report;

/**
 * The promise of {@code docs/purge.md} in every interleaving, and that each of its rules is needed
 * for it.
 */
class ModelTest {

  @ParameterizedTest
  @EnumSource
  void servesNoPurgedAnswerInAnyInterleaving(Scenario scenario) {
    Report report = scenario.explorer(Rules.NORMAL).run(99, 400_000);
    System.out.println(
        "model " + scenario + ": " + report.states() + " states, all to depth " + report.depth());
    assertNull(report.broken(), () -> report.trace().toString());
    assertTrue(report.depth() >= 6 && report.completes() > 100, report::toString);
    assertEquals(
        scenario == Scenario.STOPPED_BEFORE_THE_WRITE,
        report.lateWrites() > 0,
        "only a gateway stopped behind its check for longer than the guard writes late");
  }

  @ParameterizedTest
  @EnumSource
  void findsAViolationWithoutEachRule(BrokenRule rule) {
    Report report = rule.scenario.explorer(rule.rules).run(99, 2_000_000);
    assertNotNull(report.broken(), report::toString);
    System.out.println("model " + rule + ": " + report.broken() + ": " + report.trace());
    assertTrue(report.trace().size() <= 12, report::toString);
  }
}
