package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

/**
 * Cancelled and rejected jobs must leave no record on the disk of any store, including stores that
 * restart with an empty disk or with their old disk. A store may have only a promise for such a job
 * and no record.
 */
class JobCleanupTest {
  private static final int JOBS = 60;
  private static final long MAX_WAITING_TOKENS = 1_500;

  /** The number of records that a store keeps about itself, such as its voter set. */
  private static final int OWN_RECORDS = 4;

  private static int countRecords(ReplicatedBatchCluster.StoreNode store) {
    int count = 0;
    for (String name : store.disk.names("")) {
      count += name.isEmpty() ? 0 : 1;
    }
    return count;
  }

  private static void restart(
      ReplicatedBatchCluster cluster, ReplicatedBatchCluster.StoreNode store, boolean wipe) {
    store.kill(wipe);
    cluster.timers.advance(500);
    store.start();
    for (int i = 0; i < 10_000 && !cluster.allStoresVoting(); i++) {
      cluster.timers.advance(1);
    }
    assertThat("voting again", cluster.allStoresVoting(), is(true));
  }

  @Test
  void cancelledAndRejectedJobsLeaveNoRecordsAtRestartedStores() {
    for (boolean wipe : new boolean[] {false, true}) {
      ReplicatedBatchCluster cluster =
          new ReplicatedBatchCluster(wipe ? 2 : 1, 2, MAX_WAITING_TOKENS);
      int accepted = 0;
      for (int i = 0; i < JOBS; i++) {
        BatchService.Reply reply =
            cluster.await(cluster.submit(cluster.gateways.get(i % 2), "job" + i, 4, 60));
        accepted += reply != null && reply.status() == 202 ? 1 : 0;
      }
      int most = 0;
      for (ReplicatedBatchCluster.StoreNode store : cluster.stores) {
        most = Math.max(most, countRecords(store));
        restart(cluster, store, wipe);
      }
      cluster.timers.advance(600_000);
      for (ReplicatedBatchCluster.StoreNode store : cluster.stores) {
        System.out.printf(
            "%s: %d jobs, %d accepted: %d records at most, %d in the end%n",
            wipe ? "disks lost" : "old disks", JOBS, accepted, most, countRecords(store));
        assertThat(countRecords(store), lessThan(OWN_RECORDS + 1));
      }
      assertThat(most, greaterThan(JOBS / 2));
      assertThat(accepted, greaterThan(0));
      assertThat(accepted, lessThan(JOBS));
    }
  }
}
