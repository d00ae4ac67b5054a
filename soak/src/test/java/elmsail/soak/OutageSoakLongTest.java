package elmsail.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/** Outages of all stores over many seeds, one after the other; only where they are named. */
@EnabledIfSystemProperty(named = SoakLongTest.SEEDS, matches = "\\d+-\\d+")
class OutageSoakLongTest {

  @Test
  void jobsKeepTheInvariantsOverOutagesOfAllStoresFromEachSeed() throws Exception {
    String[] bounds = System.getProperty(SoakLongTest.SEEDS).split("-");
    Map<Long, List<Violation>> broken = new TreeMap<>();
    for (long seed = Long.parseLong(bounds[0]); seed <= Long.parseLong(bounds[1]); seed++) {
      SoakOutcome outcome = SoakRun.play(SoakPlan.fullOutages(seed));
      System.out.println(outcome.summary());
      outcome.violations().forEach(one -> System.out.println("  " + one));
      if (!outcome.violations().isEmpty()) {
        broken.put(seed, outcome.violations());
      }
    }
    assertThat(broken, is(anEmptyMap()));
  }
}
