package elmsail.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Random histories with injected faults are linearizable, with joins, disk losses and blobs. */
class LinearizabilityTest {
  private static final int SEEDS = Integer.getInteger("register.seeds", 160);

  @Test
  void historiesOfThreeVotersAreLinearizable() {
    runHistories(SEEDS, 3);
  }

  @Test
  void historiesOfFiveVotersAreLinearizable() {
    runHistories(SEEDS / 4, 5);
  }

  @Test
  void historiesOfThreeVotersWithUnfinishedJoinsAreLinearizable() {
    runHistories(SEEDS, 3, true);
  }

  @Test
  void historiesOfFiveVotersWithUnfinishedJoinsAreLinearizable() {
    runHistories(SEEDS / 4, 5, true);
  }

  @Test
  void relayedPreparesOfThreeVotersAreLinearizableAndKeepTheirBlobs() {
    runHistories(SEEDS / 4, 3, false, true);
  }

  @Test
  void relayedPreparesOfFiveVotersAreLinearizableAndKeepTheirBlobs() {
    runHistories(SEEDS / 8, 5, false, true);
  }

  /** Guards against review/1: a change that was declined after it proposed is never committed. */
  @Test
  void declinedChangesAreNeverCommitted() {
    List<String> violations = new ArrayList<>();
    int declined = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      RandomHistory history = new RandomHistory(seed).withDeclinedChanges().run();
      for (String violation : history.checker.violations) {
        violations.add("seed " + seed + ": " + violation);
      }
      declined += history.declinedAfterProposal();
    }
    System.out.println(SEEDS + " histories: " + declined + " changes declined after a proposal");
    assertThat(violations, empty());
    assertThat(declined, greaterThan(SEEDS / 4));
  }

  private static void runHistories(int seeds, int voters) {
    runHistories(seeds, voters, false, false);
  }

  private static void runHistories(int seeds, int voters, boolean unfinishedClaims) {
    runHistories(seeds, voters, unfinishedClaims, false);
  }

  private static void runHistories(
      int seeds, int voters, boolean unfinishedClaims, boolean largeBlobs) {
    List<String> faults = new ArrayList<>();
    Totals totals = new Totals();
    for (int seed = 0; seed < seeds; seed++) {
      RandomHistory history = new RandomHistory(seed, voters);
      if (unfinishedClaims) {
        history.withUnfinishedClaims();
      }
      if (largeBlobs) {
        history.withLargeBlobs();
      }
      history.run();
      for (String fault : history.checker.violations) {
        faults.add("seed " + seed + ": " + fault);
      }
      totals.add(history);
    }
    System.out.println(seeds + " histories of " + voters + " voters: " + totals);
    assertThat(faults, empty());
    assertThat(totals.wipes, greaterThan(seeds / 2));
    assertThat(totals.replacements, greaterThan(seeds / 2));
    if (unfinishedClaims) {
      assertThat(totals.wipesDuringClaims, greaterThan(seeds / 8));
    }
  }

  /** The counts of operations and faults of all histories. */
  private static final class Totals {
    private int changes;
    private int reads;
    private int failures;
    private int crashes;
    private int wipes;
    private int replacements;
    private int unfinishedClaims;
    private int wipesDuringClaims;

    void add(RandomHistory history) {
      changes += history.changes;
      reads += history.reads;
      failures += history.failures;
      crashes += history.crashes;
      wipes += history.wipes;
      replacements += history.replacements;
      unfinishedClaims += history.unfinishedClaims;
      wipesDuringClaims += history.wipesDuringClaims;
    }

    @Override
    public String toString() {
      return String.format(
          "%d changes, %d reads, %d failed, %d crashes, %d of them with disk loss, %d replacements,"
              + " %d unfinished claims, with %d disk losses of other voters during them",
          changes,
          reads,
          failures,
          crashes,
          wipes,
          replacements,
          unfinishedClaims,
          wipesDuringClaims);
    }
  }
}
