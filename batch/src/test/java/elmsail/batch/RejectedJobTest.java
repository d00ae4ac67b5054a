package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * A job that was rejected with 429 must not run, even if one store has accepted its record in an
 * earlier round: a proposer that finds the record at that store would commit it.
 */
class RejectedJobTest {
  private static final long LIMIT = 1_000;
  private static final long TOKENS = 600;

  /**
   * Submits a job whose accept request reaches only one store. The next round reaches only the two
   * other stores, where a rival job is being accepted.
   *
   * @return the status of the reply if the job ran, otherwise 0
   */
  private static int statusIfJobRan(int cutAfter, String rival) {
    ReplicatedBatchCluster cluster = new ReplicatedBatchCluster(cutAfter, 3, LIMIT);
    cluster.timers.advance(1_000);
    String first = cluster.gateways.get(0).address;
    String second = cluster.gateways.get(1).address;
    String onlyStore = cluster.stores.get(0).address;
    CompletableFuture<BatchService.Reply> reply =
        cluster.submit(cluster.gateways.get(0), "refused", 1, TOKENS);
    cluster.timers.advance(cutAfter);
    for (int i = 1; i < 3; i++) {
      cluster.net.cut(first, cluster.stores.get(i).address);
    }
    cluster.timers.advance(1_470 - cutAfter);
    cluster.net.healAll();
    cluster.net.cutBoth(first, onlyStore);
    cluster.net.cutBoth(second, onlyStore);
    cluster.timers.advance(25);
    CompletableFuture<BatchService.Reply> rivalFuture =
        cluster.submit(cluster.gateways.get(1), rival, 1, TOKENS);
    BatchService.Reply firstReply = cluster.await(reply);
    BatchService.Reply rivalReply = cluster.await(rivalFuture);
    cluster.net.healAll();
    cluster.timers.advance(15_000);
    boolean ran = cluster.completedItemIds.contains("refused-0");
    System.out.println(
        "cut after "
            + cutAfter
            + " ms, "
            + rival
            + ": "
            + firstReply.status()
            + ", the rival "
            + rivalReply.status()
            + ", run: "
            + ran);
    return ran ? firstReply.status() : 0;
  }

  @Test
  void aJobRejectedOverQuotaIsNotRun() {
    int rejectedAndRun = 0;
    for (int cutAfter = 4; cutAfter < 48; cutAfter++) {
      for (String rival : new String[] {"rival", "other", "third"}) {
        rejectedAndRun += statusIfJobRan(cutAfter, rival) == 429 ? 1 : 0;
      }
    }
    assertThat(rejectedAndRun, is(0));
  }
}
