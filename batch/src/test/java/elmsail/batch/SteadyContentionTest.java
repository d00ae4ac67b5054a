package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Jobs keep arriving while the first jobs contend with each other for the limit. New arrivals must
 * not keep all of the contending jobs from being accepted, which would leave the limit unused.
 */
class SteadyContentionTest {
  private static final int GATEWAYS = 8;
  private static final long LIMIT = 1_000;
  private static final long BURST_MS = 1_500;

  private static long acceptedTokens(long seed, int intervalMs) {
    SimBatchCluster cluster = new SimBatchCluster(seed, GATEWAYS, LIMIT);
    List<CompletableFuture<BatchService.Reply>> replies = new ArrayList<>();
    List<Long> tokens = new ArrayList<>();
    for (int i = 0; (long) i * intervalMs < BURST_MS; i++) {
      long jobTokens = 60L + cluster.random.nextInt(140);
      tokens.add(jobTokens);
      replies.add(cluster.submit(i % GATEWAYS, "job" + seed + "-" + i, 1, jobTokens));
      cluster.timers.advance(intervalMs);
    }
    long accepted = 0;
    for (int i = 0; i < replies.size(); i++) {
      accepted += cluster.status(replies.get(i)) == 202 ? tokens.get(i) : 0;
    }
    return accepted;
  }

  private static void checkMeanAcceptedTokens(int intervalMs) {
    long sum = 0;
    long minAccepted = LIMIT;
    for (int seed = 0; seed < 10; seed++) {
      long accepted = acceptedTokens(seed, intervalMs);
      assertThat(accepted, lessThanOrEqualTo(LIMIT));
      sum += accepted;
      minAccepted = Math.min(minAccepted, accepted);
    }
    System.out.println(
        "a job every " + intervalMs + " ms: mean " + sum / 10 + ", minimum " + minAccepted);
    assertThat(sum / 10, greaterThanOrEqualTo(LIMIT * 7 / 10));
  }

  @Test
  void aJobEvery20MsFillsTheQuota() {
    checkMeanAcceptedTokens(20);
  }

  @Test
  void aJobEvery5MsFillsTheQuota() {
    checkMeanAcceptedTokens(5);
  }

  @Test
  void aJobEvery2MsFillsTheQuota() {
    checkMeanAcceptedTokens(2);
  }
}
