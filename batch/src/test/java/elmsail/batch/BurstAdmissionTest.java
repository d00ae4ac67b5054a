package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Many jobs that are submitted in the same moments, on a route that cannot take them all. */
class BurstAdmissionTest {
  private static final int GATEWAYS = 8;
  private static final long LIMIT = 1_000;
  private static final int JOBS = 24;
  private static final int SEEDS = 60;

  /** The tokens that were accepted of jobs submitted within {@code spreadMs}, none of them run. */
  private static long acceptedTokens(long seed, int spreadMs) {
    SimBatchCluster world = new SimBatchCluster(seed, GATEWAYS, LIMIT);
    List<CompletableFuture<BatchService.Reply>> replies = new ArrayList<>();
    List<Long> tokens = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      long own = 60 + world.random.nextInt(140);
      tokens.add(own);
      replies.add(world.submit(i % GATEWAYS, "job" + i, 1, own));
      world.timers.advance(world.random.nextInt(1 + 2 * spreadMs / JOBS));
    }
    long accepted = 0;
    for (int i = 0; i < JOBS; i++) {
      accepted += world.status(replies.get(i)) == 202 ? tokens.get(i) : 0;
    }
    return accepted;
  }

  private static void measure(int spreadMs, long least) {
    long sum = 0;
    long fewest = LIMIT;
    for (int seed = 0; seed < SEEDS; seed++) {
      long accepted = acceptedTokens(seed, spreadMs);
      assertThat("seed " + seed, accepted, lessThanOrEqualTo(LIMIT * 11 / 10));
      sum += accepted;
      fewest = Math.min(fewest, accepted);
    }
    System.out.println(
        JOBS
            + " jobs in "
            + spreadMs
            + " ms: accepted of a limit of "
            + LIMIT
            + " in the mean "
            + sum / SEEDS
            + ", at least "
            + fewest);
    assertThat("jobs in " + spreadMs + " ms, mean", sum / SEEDS, greaterThanOrEqualTo(least));
  }

  @Test
  void simultaneousJobsFillTheQuota() {
    measure(0, LIMIT * 7 / 10);
  }

  @Test
  void jobsOfAShortBurstFillTheQuota() {
    measure(100, LIMIT * 7 / 10);
  }
}
