package elmsail.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The soak in brief: one run from one seed, with real processes, so it takes most of a minute. One
 * test looks at what fits and is refused, the other at all other invariants.
 */
@Timeout(240)
class SoakShortTest {
  private static final long SEED = 1;

  private static SoakOutcome outcome;

  @BeforeAll
  static void play() throws Exception {
    outcome = SoakRun.play(SoakPlan.brief(SEED));
    System.out.println(outcome.summary());
  }

  private static List<Violation> violations(Predicate<Violation> of) {
    return outcome.violations().stream().filter(of).toList();
  }

  private static boolean isOfFittingJobs(Violation violation) {
    return violation.invariant() == Invariant.FITTING_ACCEPTED;
  }

  @Test
  void holdsTheInvariants() {
    List<Violation> broken = violations(violation -> !isOfFittingJobs(violation));
    assertThat("see " + outcome.folder(), broken, is(empty()));
    assertThat(outcome.accepted(), greaterThan(0));
  }

  @Test
  void acceptsJobsThatFit() {
    List<Violation> broken = violations(SoakShortTest::isOfFittingJobs);
    assertThat("see " + outcome.folder(), broken, is(empty()));
  }
}
