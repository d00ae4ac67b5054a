package elmsail.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class HistoriesTest {
  private static final int SEEDS = Integer.getInteger("register.seeds", 160);

  @Test
  void historiesOfThreeVotersAreLinearizable() {
    play(SEEDS, 3);
  }

  @Test
  void historiesOfFiveVotersAreLinearizable() {
    play(SEEDS / 4, 5);
  }

  @Test
  void historiesOfThreeVotersWithUnfinishedJoinsAreLinearizable() {
    play(SEEDS, 3, true);
  }

  @Test
  void historiesOfFiveVotersWithUnfinishedJoinsAreLinearizable() {
    play(SEEDS / 4, 5, true);
  }

  @Test
  void relayedPreparesOfThreeVotersAreLinearizableAndKeepTheirBlobs() {
    play(SEEDS / 4, 3, false, true);
  }

  @Test
  void relayedPreparesOfFiveVotersAreLinearizableAndKeepTheirBlobs() {
    play(SEEDS / 8, 5, false, true);
  }

  private static void play(int seeds, int voters) {
    play(seeds, voters, false, false);
  }

  private static void play(int seeds, int voters, boolean unfinished) {
    play(seeds, voters, unfinished, false);
  }

  private static void play(int seeds, int voters, boolean unfinished, boolean largeBlobs) {
    List<String> faults = new ArrayList<>();
    int[] sums = new int[8];
    for (int seed = 0; seed < seeds; seed++) {
      RandomHistory history = new RandomHistory(seed, voters);
      if (unfinished) {
        history.withUnfinishedClaims();
      }
      if (largeBlobs) {
        history.withLargeBlobs();
      }
      history.run();
      for (String fault : history.checker.faults) {
        faults.add("seed " + seed + ": " + fault);
      }
      sums[0] += history.changed;
      sums[1] += history.read;
      sums[2] += history.failed;
      sums[3] += history.crashes;
      sums[4] += history.wipes;
      sums[5] += history.replacements;
      sums[6] += history.unfinishedClaims;
      sums[7] += history.wipesDuringClaims;
    }
    System.out.println(
        seeds
            + " histories of "
            + voters
            + " seats: "
            + sums[0]
            + " changes, "
            + sums[1]
            + " reads, "
            + sums[2]
            + " failed, "
            + sums[3]
            + " crashes, "
            + sums[4]
            + " of them wipes, "
            + sums[5]
            + " replacements"
            + (unfinished
                ? ", "
                    + sums[6]
                    + " unfinished claims, with "
                    + sums[7]
                    + " wipes of another meanwhile"
                : ""));
    assertThat(faults, empty());
    assertThat(sums[4], greaterThan(seeds / 2));
    assertThat(sums[5], greaterThan(seeds / 2));
    if (unfinished) {
      assertThat(sums[7], greaterThan(seeds / 8));
    }
  }
}
