package elmsail.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Outages of all stores in bursts of batch jobs, in brief: one run from one seed. */
@Timeout(240)
class OutageSoakShortTest {
  private static final long SEED = 3;

  @Test
  void jobsKeepTheInvariantsOverOutagesOfAllStores() throws Exception {
    SoakOutcome outcome = SoakRun.play(SoakPlan.briefOutages(SEED));
    System.out.println(outcome.summary());
    assertThat("see " + outcome.folder(), outcome.violations(), is(empty()));
    assertThat(outcome.accepted(), greaterThan(0));
  }
}
