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
  void keepsThePromiseInEveryInterleaving(Scenario play) {
    Report report = play.explorer(Rules.NORMAL).run(99, 400_000);
    System.out.println(
        "model " + play + ": " + report.states() + " states, all to depth " + report.depth());
    assertNull(report.broken(), () -> report.trace().toString());
    assertTrue(report.depth() >= 6 && report.completes() > 100, report::toString);
    assertEquals(
        play == Scenario.STOPPED_BEFORE_THE_WRITE,
        report.lateWrites() > 0,
        "only a door stopped behind its check for longer than the guard writes late");
  }

  @ParameterizedTest
  @EnumSource
  void findsWhatEachRuleIsFor(BrokenRule bent) {
    Report report = bent.scenario.explorer(bent.rules).run(99, 2_000_000);
    assertNotNull(report.broken(), report::toString);
    System.out.println("model " + bent + ": " + report.broken() + ": " + report.trace());
    assertTrue(report.trace().size() <= 12, report::toString);
  }
}
