package elmsail.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;

import java.util.Map;
import java.util.function.LongFunction;
import org.junit.jupiter.api.Test;

/** The checker of histories finds each deliberate defect. */
class DefectsTest {
  private static final int SEEDS = Integer.getInteger("register.defectSeeds", 400);

  @Test
  void answersBeforeTheSync() {
    caught("answers before the sync");
  }

  @Test
  void relayedRoundsAnsweredBeforeTheSync() {
    caught("relayed rounds are answered before the sync");
  }

  @Test
  void votesAfterAmnesia() {
    caught("votes after amnesia");
  }

  @Test
  void claimAcknowledgedByOne() {
    caught("a claim acknowledged by one");
  }

  private static void caught(String name) {
    Map<String, LongFunction<History>> all = Defects.all();
    int caught = 0;
    int first = -1;
    String fault = "";
    int seed = 0;
    for (; seed < SEEDS && caught < 1; seed++) {
      History history = all.get(name).apply(seed).run();
      for (String found : history.chain.faults) {
        if (!found.startsWith("not seated") && !found.startsWith("no last")) {
          caught++;
          first = first < 0 ? seed : first;
          fault = found;
          break;
        }
      }
    }
    System.out.println(
        name
            + ": caught in "
            + caught
            + " of "
            + seed
            + " histories, first "
            + first
            + ": "
            + fault.substring(0, Math.min(60, fault.length())));
    assertThat(name, caught, greaterThan(0));
  }
}
