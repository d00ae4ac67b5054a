package elmsail.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;

import java.util.Map;
import java.util.function.LongFunction;
import org.junit.jupiter.api.Test;

/** The checker of random histories detects each injected defect, so it is able to find faults. */
class InjectedDefectsTest {
  private static final int SEEDS = Integer.getInteger("register.defectSeeds", 400);

  @Test
  void responseBeforeSyncIsDetected() {
    assertDetected("responds before the sync");
  }

  @Test
  void relayedResponseBeforeSyncIsDetected() {
    assertDetected("responds to relayed prepares before the sync");
  }

  @Test
  void voteAfterDiskLossIsDetected() {
    assertDetected("votes after disk loss");
  }

  @Test
  void joinWithOneAcknowledgementIsDetected() {
    assertDetected("join with one acknowledgement");
  }

  @Test
  void declineWithoutAWriteIsDetected() {
    assertDetected("declines without a write");
  }

  private static void assertDetected(String name) {
    Map<String, LongFunction<RandomHistory>> defects = InjectedDefects.all();
    int detected = 0;
    int firstSeed = -1;
    String fault = "";
    int seed = 0;
    for (; seed < SEEDS && detected < 1; seed++) {
      RandomHistory history = defects.get(name).apply(seed).run();
      for (String found : history.checker.violations) {
        if (!found.startsWith("not voting") && !found.startsWith("final read failed")) {
          detected++;
          firstSeed = firstSeed < 0 ? seed : firstSeed;
          fault = found;
          break;
        }
      }
    }
    System.out.println(
        name
            + ": detected in "
            + detected
            + " of "
            + seed
            + " histories, first seed "
            + firstSeed
            + ": "
            + fault.substring(0, Math.min(60, fault.length())));
    assertThat(name, detected, greaterThan(0));
  }
}
