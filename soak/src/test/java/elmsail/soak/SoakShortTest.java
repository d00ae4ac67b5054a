package elmsail.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The soak in brief, from one seed: real processes, so it takes most of a minute. */
@Timeout(240)
class SoakShortTest {
  private static final long SEED = 1;

  @Test
  void holdsAllInvariants() throws Exception {
    SoakOutcome outcome = SoakRun.play(SoakPlan.brief(SEED));
    System.out.println(outcome.summary());
    assertThat("see " + outcome.folder(), outcome.violations(), is(empty()));
    assertThat(outcome.accepted(), greaterThan(0));
  }
}
