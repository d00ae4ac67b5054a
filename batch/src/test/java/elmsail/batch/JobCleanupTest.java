package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

/**
 * Batch jobs that end or are refused, at stores that restart with their disk or without: in the end
 * nothing of them is on any disk.
 */
class JobCleanupTest {
  private static final int JOBS = 60;
  private static final long MOST_WAITING = 1_500;

  /** Voter set, voting and the like. */
  private static final int OWN_RECORDS = 4;

  private static int records(ReplicatedBatchCluster.StoreNode store) {
    int count = 0;
    for (String name : store.disk.names("")) {
      count += name.isEmpty() ? 0 : 1;
    }
    return count;
  }

  private static void restart(
      ReplicatedBatchCluster world, ReplicatedBatchCluster.StoreNode store, boolean wipe) {
    store.kill(wipe);
    world.timers.advance(500);
    store.start();
    for (int i = 0; i < 10_000 && !world.allStoresVoting(); i++) {
      world.timers.advance(1);
    }
    assertThat("voting again", world.allStoresVoting(), is(true));
  }

  @Test
  void cancelledAndRejectedJobsLeaveNothingAtRestartedStores() {
    for (boolean wipe : new boolean[] {false, true}) {
      ReplicatedBatchCluster world = new ReplicatedBatchCluster(wipe ? 2 : 1, 2, MOST_WAITING);
      int accepted = 0;
      for (int i = 0; i < JOBS; i++) {
        BatchService.Reply reply =
            world.await(world.submit(world.gateways.get(i % 2), "job" + i, 4, 60));
        accepted += reply != null && reply.status() == 202 ? 1 : 0;
      }
      int most = 0;
      for (ReplicatedBatchCluster.StoreNode store : world.stores) {
        most = Math.max(most, records(store));
        restart(world, store, wipe);
      }
      world.timers.advance(600_000);
      for (ReplicatedBatchCluster.StoreNode store : world.stores) {
        System.out.printf(
            "%s: %d jobs, %d accepted: %d records at most, %d in the end%n",
            wipe ? "disks lost" : "old disks", JOBS, accepted, most, records(store));
        assertThat(records(store), lessThan(OWN_RECORDS + 1));
      }
      assertThat(most, greaterThan(JOBS / 2));
      assertThat(accepted, greaterThan(0));
      assertThat(accepted, lessThan(JOBS));
    }
  }
}
