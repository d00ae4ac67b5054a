package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Large jobs at a gateway with a slow uplink of 21 Mbit/s, as on small machines, and five stores,
 * which tolerate two failures. If the gateway sent each body to every store itself, the uplink
 * would delay the replies beyond their deadline.
 */
class NarrowUplinkTest {
  private static final double BYTES_PER_MS = 21_000_000 / 8.0 / 1_000;
  private static final int STORES = 5;
  private static final int ITEMS = 200;
  private static final int ITEM_BYTES = 1_330;

  /** The length of the text of one result, in bytes. */
  private static final int TEXT_BYTES = 3_300;

  /** Delay between the completions of consecutive items, which gives about 60 items per second. */
  private static final long STAGGER_MS = 16;

  /** Time within which the reply to a submission is due on this route, in ms. */
  private static final long REPLY_DEADLINE_MS = 500;

  private static long measureAcceptanceMs(ReplicatedBatchCluster cluster, String id) {
    ReplicatedBatchCluster.Gateway gateway = cluster.gateways.get(0);
    long startedAt = cluster.timers.now();
    CompletableFuture<BatchService.Reply> reply =
        gateway.batchApi.submit(
            TenantName.NONE,
            cluster.route(),
            id,
            JobJson.largeJob(id, ITEMS, 10, ITEM_BYTES),
            3_000);
    assertThat(cluster.await(reply).status(), is(202));
    return cluster.timers.now() - startedAt;
  }

  private static ReplicatedBatchCluster cluster(long seed) {
    ReplicatedBatchCluster cluster = new ReplicatedBatchCluster(seed, 1, 1_000_000, STORES);
    cluster.net.uplink(cluster.gateways.get(0).address, BYTES_PER_MS);
    cluster.timers.advance(1_000);
    return cluster;
  }

  @Test
  void largeJobIsAcceptedWithinHalfTheReplyDeadline() {
    for (int seed = 0; seed < 5; seed++) {
      assertThat(
          "seed " + seed,
          measureAcceptanceMs(cluster(seed), "large"),
          lessThan(REPLY_DEADLINE_MS / 2));
    }
  }

  @Test
  void gatewaySendsBodyAboutOnce() {
    ReplicatedBatchCluster cluster = cluster(7);
    cluster.net.countBytes(cluster.gateways.get(0).address);
    measureAcceptanceMs(cluster, "large");
    long body = (long) ITEMS * ITEM_BYTES;
    assertThat(cluster.net.countedBytes(), lessThanOrEqualTo(body * 3 / 2));
  }

  @Test
  void gatewaySendsResultTextsAtMostFourTimes() {
    ReplicatedBatchCluster cluster = cluster(8);
    SimServers servers = cluster.gateways.get(0).servers;
    servers.capacity = ITEMS;
    servers.serviceTimeMs = 1_000;
    servers.staggerMs = STAGGER_MS;
    servers.eventPadding = "y".repeat(TEXT_BYTES / 2);
    measureAcceptanceMs(cluster, "large");
    cluster.net.countBytes(cluster.gateways.get(0).address);
    cluster.timers.advance(1_000 + (ITEMS + 10) * STAGGER_MS);
    assertThat(servers.completedItemIds.size(), is(ITEMS));
    long texts = (long) ITEMS * TEXT_BYTES;
    System.out.println(
        "results of "
            + texts
            + " bytes took "
            + cluster.net.countedBytes()
            + " on the gateway's link");
    assertThat(cluster.net.countedBytes(), lessThanOrEqualTo(texts * 4));
  }

  @Test
  void largeJobIsAcceptedWhileOneStoreIsDown() {
    for (int down = 0; down < STORES; down++) {
      ReplicatedBatchCluster cluster = cluster(20 + down);
      cluster.stores.get(down).kill(false);
      cluster.timers.advance(200);
      measureAcceptanceMs(cluster, "large");
    }
  }

  @Test
  void largeJobsAreAcceptedWhileOneStoreIsFrozen() {
    for (int frozen = 0; frozen < STORES; frozen++) {
      ReplicatedBatchCluster cluster = cluster(30 + frozen);
      cluster.net.freeze(cluster.stores.get(frozen).address);
      measureAcceptanceMs(cluster, "first");
      assertThat(
          "submitted after the first job",
          measureAcceptanceMs(cluster, "second"),
          lessThan(REPLY_DEADLINE_MS));
    }
  }
}
