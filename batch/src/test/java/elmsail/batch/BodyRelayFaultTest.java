package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import elmsail.batch.messages.JobRecord;
import elmsail.batch.messages.WaitingTokens;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Submits large jobs through a gateway with a slow uplink. The gateway sends the body of a job to
 * one store, the relay, which forwards the body to the other stores. Faults of the relay or of its
 * links must neither delay many jobs nor make the gateway send a body several times.
 */
class BodyRelayFaultTest {
  private static final double BYTES_PER_MS = 21_000_000 / 8.0 / 1_000;
  private static final int STORES = 5;
  private static final int ITEMS = 200;
  private static final int ITEM_BYTES = 1_330;
  private static final long BODY_BYTES = (long) ITEMS * ITEM_BYTES;

  /**
   * Upper bound on the time to accept a job if the gateway sends the body to every store itself.
   */
  private static final long DIRECT_MS = 800;

  private static ReplicatedBatchCluster cluster(long seed, int gateways, long limit) {
    ReplicatedBatchCluster cluster = new ReplicatedBatchCluster(seed, gateways, limit, STORES);
    cluster.net.uplink(cluster.gateways.get(0).address, BYTES_PER_MS);
    cluster.timers.advance(1_000);
    return cluster;
  }

  private static CompletableFuture<BatchService.Reply> submit(
      ReplicatedBatchCluster cluster, String id) {
    return cluster
        .gateways
        .get(0)
        .batchApi
        .submit(
            TenantName.NONE,
            cluster.route(),
            id,
            JobJson.largeJob(id, ITEMS, 10, ITEM_BYTES),
            3_000);
  }

  @Test
  void jobIsAcceptedInTimeWhenRelayCallsToOtherStoresAreRefused() {
    ReplicatedBatchCluster cluster = cluster(1, 1, 1_000_000);
    String relay = cluster.stores.get(0).address;
    for (int i = 1; i < STORES; i++) {
      cluster.net.refuseCalls(relay, cluster.stores.get(i).address);
    }
    long startedAt = cluster.timers.now();
    int status = cluster.await(submit(cluster, "job")).status();
    long ms = cluster.timers.now() - startedAt;
    System.out.println("calls of the relay refused: " + status + " in " + ms + " ms");
    assertThat(status, is(202));
    assertThat("ms", ms, lessThanOrEqualTo(DIRECT_MS));
  }

  @Test
  void jobIsAcceptedWhenRelayIsPartitionedFromOtherStores() {
    ReplicatedBatchCluster cluster = cluster(2, 1, 1_000_000);
    String relay = cluster.stores.get(0).address;
    for (int i = 1; i < STORES; i++) {
      cluster.net.cut(relay, cluster.stores.get(i).address);
    }
    long startedAt = cluster.timers.now();
    int status = cluster.await(submit(cluster, "job")).status();
    System.out.println(
        "relay partitioned: " + status + " in " + (cluster.timers.now() - startedAt) + " ms");
    assertThat(status, is(202));
  }

  /**
   * Submits this number of jobs at once and returns the bytes on the gateway's link, as a multiple
   * of the size of one body.
   */
  private static double measureBodiesSent(int jobs) {
    ReplicatedBatchCluster cluster = cluster(3, 1, 1_000_000);
    cluster.net.countBytes(cluster.gateways.get(0).address);
    long startedAt = cluster.timers.now();
    List<CompletableFuture<BatchService.Reply>> replies = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      replies.add(submit(cluster, "job" + i));
    }
    int accepted = 0;
    for (CompletableFuture<BatchService.Reply> reply : replies) {
      accepted += cluster.await(reply).status() == 202 ? 1 : 0;
    }
    long ms = cluster.timers.now() - startedAt;
    cluster.timers.advance(2_000);
    double sent = (double) cluster.net.countedBytes() / BODY_BYTES;
    System.out.println(
        jobs + " jobs at once: " + accepted + " accepted in " + ms + " ms, bodies sent " + sent);
    return sent;
  }

  @Test
  void gatewaySendsEachOfFourConcurrentBodiesAboutOnce() {
    assertThat(measureBodiesSent(4), lessThanOrEqualTo(4 * 1.5));
  }

  @Test
  void gatewaySendsEachOfTwelveConcurrentBodiesAboutOnce() {
    assertThat(measureBodiesSent(12), lessThanOrEqualTo(12 * 1.5));
  }

  /** Submits twelve large jobs, three at each of four gateways. The limit admits five of them. */
  @Test
  void mostContendingLargeJobsThatFitAreAccepted() {
    int sum = 0;
    double bodies = 0;
    int fewest = 5;
    for (int seed = 70; seed < 80; seed++) {
      ReplicatedBatchCluster cluster = cluster(seed, 4, 10_000);
      for (ReplicatedBatchCluster.Gateway gateway : cluster.gateways) {
        cluster.net.uplink(gateway.address, BYTES_PER_MS);
      }
      cluster.net.countBytes(cluster.gateways.get(0).address);
      List<CompletableFuture<BatchService.Reply>> replies = new ArrayList<>();
      for (int i = 0; i < 12; i++) {
        String id = "contends" + seed + "-" + i;
        replies.add(
            cluster
                .gateways
                .get(i % 4)
                .batchApi
                .submit(
                    TenantName.NONE,
                    cluster.route(),
                    id,
                    JobJson.largeJob(id, ITEMS, 10, ITEM_BYTES),
                    3_000));
        cluster.timers.advance(cluster.random.nextInt(20));
      }
      int accepted = 0;
      long startedAt = cluster.timers.now();
      for (CompletableFuture<BatchService.Reply> reply : replies) {
        accepted += cluster.await(reply).status() == 202 ? 1 : 0;
      }
      double sent = (double) cluster.net.countedBytes() / BODY_BYTES;
      System.out.println(
          "contended, seed "
              + seed
              + ": "
              + accepted
              + " accepted in "
              + (cluster.timers.now() - startedAt)
              + " ms, bodies sent by the first gateway "
              + sent);
      assertThat(accepted, lessThanOrEqualTo(5));
      fewest = Math.min(fewest, accepted);
      sum += accepted;
      bodies += sent;
    }
    System.out.println("contended: accepted " + sum / 10.0 + " of 5, bodies sent " + bodies / 10);
    assertThat("accepted in the worst run", fewest, greaterThanOrEqualTo(3));
    assertThat("accepted in 10 runs, of 50", sum, greaterThanOrEqualTo(35));
    assertThat("bodies sent by a gateway with three jobs", bodies / 10, lessThanOrEqualTo(6.0));
  }

  /** The responses of one of the five stores arrive 60 to 70 ms later than those of the others. */
  @Test
  void gatewayDoesNotResendBodyToSlowStore() {
    ReplicatedBatchCluster cluster = cluster(4, 1, 1_000_000);
    String slow = cluster.stores.get(4).address;
    for (int i = 0; i < 4; i++) {
      cluster.net.delay(slow, cluster.stores.get(i).address, 60, 70);
    }
    cluster.net.delay(slow, cluster.gateways.get(0).address, 60, 70);
    cluster.net.countBytes(cluster.gateways.get(0).address);
    cluster.await(submit(cluster, "job"));
    cluster.timers.advance(1_000);
    double sent = (double) cluster.net.countedBytes() / BODY_BYTES;
    System.out.println("one slow store: bodies sent " + sent);
    assertThat(sent, lessThanOrEqualTo(1.5));
  }

  /**
   * The relay's message with the reservation arrives at one store after the withdrawal of the same
   * reservation. Without the record of the withdrawal, the store would count the rejected job.
   */
  @Test
  void rejectedJobIsNotCountedWhenItsRelayedRoundArrivesLate() {
    for (int offset = 0; offset < 130; offset += 5) {
      ReplicatedBatchCluster cluster = cluster(50 + offset, 2, 1_000);
      ReplicatedBatchCluster.StoreNode behind = cluster.stores.get(4);
      cluster.net.delay(cluster.stores.get(0).address, behind.address, 900, 900);
      CompletableFuture<BatchService.Reply> large =
          cluster
              .gateways
              .get(0)
              .batchApi
              .submit(
                  TenantName.NONE,
                  cluster.route(),
                  "a",
                  JobJson.largeJob("a", ITEMS, 3, ITEM_BYTES),
                  3_000);
      cluster.timers.advance(offset);
      cluster.submit(cluster.gateways.get(1), "c" + offset, 1, 600);
      int status = cluster.await(large).status();
      if (status == 429) {
        cluster.timers.advance(1_300);
        String key = JobRecord.registerKey("probe");
        byte[] probe = new WaitingTokens.Reservation("r-lots", "probe", 0, 1).encode();
        WaitingTokens count = new WaitingTokens();
        count.mergeAll(List.of(behind.service.onSideEffect(key, probe)));
        assertThat("offset " + offset, count.reservedExcept("probe"), is(0L));
      }
    }
  }

  /**
   * Submits twenty large jobs, one every 600 ms, and returns the number of jobs that took longer
   * than {@code maxMs} to be accepted.
   */
  private static int countLateJobs(ReplicatedBatchCluster cluster, String scenario, long maxMs) {
    int late = 0;
    long longest = 0;
    for (int i = 0; i < 20; i++) {
      long startedAt = cluster.timers.now();
      int status = cluster.await(submit(cluster, "job" + i)).status();
      long ms = cluster.timers.now() - startedAt;
      assertThat(status, is(202));
      longest = Math.max(longest, ms);
      late += ms > maxMs ? 1 : 0;
      cluster.timers.advance(Math.max(0, 600 - ms));
    }
    System.out.println(scenario + ": late " + late + " of 20 jobs, the longest " + longest + " ms");
    return late;
  }

  @Test
  void fewJobsAreLateWhileRelayIsFrozen() {
    ReplicatedBatchCluster cluster = cluster(90, 1, 1_000_000);
    cluster.net.freeze(cluster.stores.get(0).address);
    assertThat(countLateJobs(cluster, "frozen relay", DIRECT_MS), lessThanOrEqualTo(5));
  }

  @Test
  void fewJobsAreLateWhileRelayCannotReachOtherStores() {
    ReplicatedBatchCluster cluster = cluster(91, 1, 1_000_000);
    String relay = cluster.stores.get(0).address;
    for (int i = 1; i < STORES; i++) {
      cluster.net.refuseCalls(relay, cluster.stores.get(i).address);
    }
    assertThat(countLateJobs(cluster, "isolated relay", DIRECT_MS), lessThanOrEqualTo(5));
  }
}
