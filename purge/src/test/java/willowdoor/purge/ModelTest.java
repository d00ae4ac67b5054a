package willowdoor.purge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import willowdoor.purge.Explorer.Report;

/**
 * Guards the guarantee that {@code docs/purge.md} proves: no answer that a complete purge covers is
 * served. The first test checks all interleavings up to a number of states; the second checks that
 * a violation is found if one of the rules is broken.
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
        "only a gateway that is stopped after its check for longer than the guard writes late");
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
