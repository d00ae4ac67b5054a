package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import elmsail.rpc.messages.PullResponse;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * A control-plane node that has no contact with a majority for 20 s must assign no slot, report no
 * store as delivered and reject no store as unknown. A node that is partitioned only from a store
 * must query the nodes that receive the store's heartbeats.
 */
class StorePlacementPartitionTest extends PartitionTestBase {
  private static final String DELIVERED = "{\"state\":\"delivered\"}";

  /** Starts stores; the first three hold the slots, the others are spares. */
  private void startStores(int count) {
    for (int i = 1; i <= 3; i++) {
      cluster.startStore("v" + i, true);
    }
    assertThat(
        cluster.awaitWithin(
            6_000, () -> cluster.describeJobStoreVoters("v1").equals("v1/1 v2/1 v3/1")),
        is(true));
    for (int i = 4; i <= count; i++) {
      cluster.startStore("v" + i, true);
    }
    cluster.timers.advance(4_000);
  }

  @Test
  void thawedNodeSendsNoSlotAssignmentFromBeforeTheFreeze() {
    startControlPlane();
    startStores(4);
    cluster.net.cut(cluster.address("n1"), cluster.address("v4"));
    cluster.net.kill(cluster.address("v2"), false);
    cluster.timers.advance(3_200);
    CompletableFuture<PullResponse> pullBeforeFreeze = pull(pullRequest("store", "v4"), 1_000);
    assertThat(cluster.awaitWithin(1_000, pullBeforeFreeze::isDone), is(true));
    assertThat("n1 assigns the slot", pullBeforeFreeze.join().view.joinSlot, is(1));
    cluster.net.freeze(cluster.address("n1"));
    CompletableFuture<PullResponse> pullDuringFreeze = pull(pullRequest("store", "v4"), 60_000);
    cluster.timers.advance(PARTITION_MS);
    cluster.net.thaw(cluster.address("n1"));
    for (int ms = 0; ms < 100; ms++) {
      cluster.timers.advance(1);
      CompletableFuture<PullResponse> pullAfterThaw = pull(pullRequest("store", "v4"), 1_000);
      assertNoSlotAssigned(pullDuringFreeze);
      assertNoSlotAssigned(pullAfterThaw);
    }
    assertThat(pullDuringFreeze.isDone(), is(true));
  }

  private static void assertNoSlotAssigned(CompletableFuture<PullResponse> response) {
    if (response.isDone() && !hasFailed(response) && response.join().view != null) {
      assertThat(response.join().view.joinSlot, is(-1));
    }
  }

  @Test
  void partitionedNodeAssignsNoSlots() {
    startControlPlane();
    startStores(4);
    Partition.BOTH_WAYS.begin(cluster);
    cluster.timers.advance(CONTACT_MAX_AGE_MS);
    for (int i = 1; i <= 4; i++) {
      cluster.net.cutBoth(cluster.address("v" + i), cluster.address("n2"));
      cluster.net.cutBoth(cluster.address("v" + i), cluster.address("n3"));
    }
    cluster.net.kill(cluster.address("v2"), false);
    long end = cluster.timers.now() + PARTITION_MS;
    while (cluster.timers.now() < end) {
      cluster.timers.advance(50);
      assertThat(cluster.describeJobStoreVoters("v1"), equalTo("v1/1 v2/1 v3/1"));
    }
    cluster.net.healAll();
    assertThat(
        cluster.awaitWithin(
            8_000, () -> cluster.describeJobStoreVoters("v1").equals("v1/1 v4/2 v3/1")),
        is(true));
  }

  @Test
  void partitionedNodeReportsNoStoreDelivered() {
    startControlPlane();
    startStores(5);
    assertThat(cluster.beginDecommission("n2", "v4"), is(200));
    assertThat(
        cluster.awaitWithin(6_000, () -> cluster.decommissionState("n1", "v4").equals(DELIVERED)),
        is(true));
    Partition.BOTH_WAYS.begin(cluster);
    cluster.timers.advance(CONTACT_MAX_AGE_MS);
    for (int i = 0; i < 40; i++) {
      cluster.timers.advance(500);
      assertThat(cluster.decommissionState("n1", "v4"), equalTo("503"));
    }
    cluster.net.healAll();
    assertThat(
        cluster.awaitWithin(2_000, () -> cluster.decommissionState("n1", "v4").equals(DELIVERED)),
        is(true));
  }

  @Test
  void storeIsNotReportedDeliveredFromHeartbeatsAlone() {
    startControlPlane();
    startStores(5);
    assertThat(cluster.beginDecommission("n2", "v4"), is(200));
    cluster.timers.advance(100);
    Partition.BOTH_WAYS.begin(cluster);
    cluster.timers.advance(CONTACT_MAX_AGE_MS);
    for (int i = 0; i < 40; i++) {
      cluster.timers.advance(500);
      assertThat(cluster.decommissionState("n1", "v4"), not(equalTo(DELIVERED)));
    }
  }

  @Test
  void storeStartedDuringPartitionIsNotUnknown() {
    startControlPlane();
    startStores(4);
    cluster.net.isolate(cluster.address("n1"));
    cluster.net.cutBoth(cluster.address("n1"), cluster.address("v5"));
    cluster.startStore("v5", true);
    cluster.timers.advance(CONTACT_MAX_AGE_MS);
    for (int i = 0; i < 20; i++) {
      cluster.timers.advance(1_000);
      assertThat(cluster.beginDecommission("n1", "v5"), is(503));
      assertThat(cluster.decommissionState("n1", "v5"), is("503"));
    }
    cluster.net.healAll();
    for (int ms = 0; ms < 3_000; ms += 100) {
      assertThat(cluster.beginDecommission("n1", "v5"), anyOf(is(503), is(200)));
      cluster.timers.advance(100);
    }
    assertThat(cluster.beginDecommission("n1", "v5"), is(200));
    assertThat(cluster.beginDecommission("n1", "v9"), is(404));
  }

  @Test
  void storeSeenOnlyByPeersIsNeitherUnknownNorMissing() {
    startControlPlane();
    cluster.net.cutBoth(cluster.address("n1"), cluster.address("v4"));
    startStores(4);
    assertThat(
        "n1 has no heartbeats of v4, so it cannot decide",
        cluster.beginDecommission("n1", "v2"),
        is(503));
    assertThat(cluster.beginDecommission("n1", "v4"), is(200));
    assertThat(cluster.beginDecommission("n2", "v2"), is(409));
  }

  @Test
  void thawedNodeReportsNoRunningStoreAsUnknown() {
    startControlPlane();
    startStores(4);
    cluster.net.freeze(cluster.address("n1"));
    cluster.timers.advance(1_000);
    cluster.startStore("v5", true);
    cluster.net.cutBoth(cluster.address("n1"), cluster.address("v5"));
    cluster.timers.advance(PARTITION_MS);
    cluster.net.thaw(cluster.address("n1"));
    assertThat(cluster.beginDecommission("n1", "v5"), anyOf(is(503), is(200)));
    assertThat("all other nodes are conclusive", cluster.beginDecommission("n1", "v9"), is(404));
  }

  /**
   * v2 is decommissioned, and v4 is assigned its slot by a response that arrives late. Then v4
   * itself is decommissioned through a node that does not know of the assignment. Once v4 is
   * reported as delivered, it must never hold a slot.
   */
  @Test
  void storeReportedDeliveredNeverTakesAnEarlierAssignment() {
    int deliveredCount = 0;
    for (int gapMs = 0; gapMs < 600; gapMs += 5) {
      newCluster(gapMs);
      startControlPlane();
      startStores(5);
      cluster.net.delay(cluster.address("n1"), cluster.address("v4"), 300, 350);
      assertThat(cluster.beginDecommission("n2", "v2"), is(200));
      cluster.timers.advance(gapMs);
      assertThat(cluster.beginDecommission("n3", "v4"), is(200));
      if (cluster.awaitWithin(
          8_000, () -> cluster.decommissionState("n3", "v4").equals(DELIVERED))) {
        deliveredCount++;
        long end = cluster.timers.now() + 2_000;
        while (cluster.timers.now() < end) {
          assertThat(
              gapMs + " ms apart", cluster.describeJobStoreVoters("v1"), not(containsString("v4")));
          cluster.timers.advance(20);
        }
      }
    }
    System.out.println("v4 was reported delivered " + deliveredCount + " times of 120");
    assertThat(deliveredCount, greaterThan(100));
  }

  @Test
  void everyVoterOfFiveHasHeartbeatsOfEveryStore() {
    for (int seed = 1; seed <= 5; seed++) {
      cluster = new SimulatedCluster(seed, 5);
      for (int i = 1; i <= 5; i++) {
        cluster.startControlPlane("n" + i, true);
      }
      startStores(4);
      cluster.timers.advance(10_000);
      assertThat(cluster.describeJobStoreVoters("v1"), equalTo("v1/1 v2/1 v3/1"));
      assertThat(cluster.beginDecommission("n" + seed, "v4"), is(200));
      cluster.timers.advance(5_000);
      for (int i = 1; i <= 5; i++) {
        assertThat(cluster.decommissionState("n" + i, "v4"), equalTo(DELIVERED));
      }
    }
  }
}
