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
  void responseBeforeSyncIsDetected() {
    assertDetected("answers before the sync");
  }

  @Test
  void relayedResponseBeforeSyncIsDetected() {
    assertDetected("relayed rounds are answered before the sync");
  }

  @Test
  void voteAfterLostDiskIsDetected() {
    assertDetected("votes after amnesia");
  }

  @Test
  void joinAcknowledgedByOneIsDetected() {
    assertDetected("a claim acknowledged by one");
  }

  private static void assertDetected(String name) {
    Map<String, LongFunction<RandomHistory>> all = InjectedDefects.all();
    int caught = 0;
    int first = -1;
    String fault = "";
    int seed = 0;
    for (; seed < SEEDS && caught < 1; seed++) {
      RandomHistory history = all.get(name).apply(seed).run();
      for (String found : history.checker.faults) {
        if (!found.startsWith("not voting") && !found.startsWith("no last")) {
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
