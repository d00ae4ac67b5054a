package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Many jobs submitted at about the same time, whose tokens together exceed the limit of the route.
 * If all of them withdrew their reservations because of each other, most of the limit would stay
 * unused.
 */
class BurstAdmissionTest {
  private static final int GATEWAYS = 8;
  private static final long LIMIT = 1_000;
  private static final int JOBS = 24;
  private static final int SEEDS = 60;

  /** The accepted tokens of jobs that are submitted within {@code spreadMs}. No item is run. */
  private static long acceptedTokens(long seed, int spreadMs) {
    SimBatchCluster cluster = new SimBatchCluster(seed, GATEWAYS, LIMIT);
    List<CompletableFuture<BatchService.Reply>> replies = new ArrayList<>();
    List<Long> tokens = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      long jobTokens = 60L + cluster.random.nextInt(140);
      tokens.add(jobTokens);
      replies.add(cluster.submit(i % GATEWAYS, "job" + i, 1, jobTokens));
      cluster.timers.advance(cluster.random.nextInt(1 + 2 * spreadMs / JOBS));
    }
    long accepted = 0;
    for (int i = 0; i < JOBS; i++) {
      accepted += cluster.status(replies.get(i)) == 202 ? tokens.get(i) : 0;
    }
    return accepted;
  }

  private static void checkMeanAcceptedTokens(int spreadMs, long minMean) {
    long sum = 0;
    long minAccepted = LIMIT;
    for (int seed = 0; seed < SEEDS; seed++) {
      long accepted = acceptedTokens(seed, spreadMs);
      assertThat("seed " + seed, accepted, lessThanOrEqualTo(LIMIT * 11 / 10));
      sum += accepted;
      minAccepted = Math.min(minAccepted, accepted);
    }
    System.out.println(
        JOBS
            + " jobs in "
            + spreadMs
            + " ms: accepted tokens at a limit of "
            + LIMIT
            + ": mean "
            + sum / SEEDS
            + ", minimum "
            + minAccepted);
    assertThat("jobs in " + spreadMs + " ms, mean", sum / SEEDS, greaterThanOrEqualTo(minMean));
  }

  @Test
  void simultaneousJobsFillTheQuota() {
    checkMeanAcceptedTokens(0, LIMIT * 7 / 10);
  }

  @Test
  void jobsOfAShortBurstFillTheQuota() {
    checkMeanAcceptedTokens(100, LIMIT * 7 / 10);
  }
}
