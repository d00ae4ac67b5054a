package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Jobs at a gateway whose outgoing link is narrow, as on small machines: 21 Mbit/s, and five stores
 * for two losses that are to be borne.
 */
class NarrowUplinkTest {
  private static final double BYTES_PER_MS = 21_000_000 / 8.0 / 1_000;
  private static final int STORES = 5;
  private static final int ITEMS = 200;
  private static final int ITEM_BYTES = 1_330;

  /** Of the text of one result. */
  private static final int TEXT_BYTES = 3_300;

  /** Items end one after the other, 60 a second. */
  private static final long STAGGER_MS = 16;

  /** Within which the call that submits a job is to be answered, of its route. */
  private static final long DUE_MS = 500;

  private static byte[] job(String id) {
    String contents =
        Base64.getEncoder()
            .encodeToString("x".repeat(ITEM_BYTES).getBytes(StandardCharsets.US_ASCII));
    StringBuilder json = new StringBuilder("{\"pieces\":[");
    for (int i = 0; i < ITEMS; i++) {
      json.append(i == 0 ? "" : ",")
          .append("{\"id\":\"")
          .append(id)
          .append('-')
          .append(i)
          .append("\",\"lane\":\"/lots1/x/1\",\"envelope\":{},\"contents\":\"")
          .append(contents)
          .append("\",\"tokens\":10}");
    }
    return json.append("]}").toString().getBytes(StandardCharsets.UTF_8);
  }

  private static long acceptMs(ReplicatedBatchCluster world, String id) {
    ReplicatedBatchCluster.Gateway gateway = world.gateways.get(0);
    long startedAt = world.timers.now();
    CompletableFuture<BatchService.Reply> reply =
        gateway.batchApi.submit(world.route(), id, job(id), 3_000);
    assertThat(world.await(reply).status(), is(202));
    return world.timers.now() - startedAt;
  }

  private static ReplicatedBatchCluster world(long seed) {
    ReplicatedBatchCluster world = new ReplicatedBatchCluster(seed, 1, 1_000_000, STORES);
    world.net.uplink(world.gateways.get(0).address, BYTES_PER_MS);
    world.timers.advance(1_000);
    return world;
  }

  @Test
  void aLargeJobIsAcceptedWhileItIsDue() {
    for (int seed = 0; seed < 5; seed++) {
      assertThat("seed " + seed, acceptMs(world(seed), "large"), lessThan(DUE_MS / 2));
    }
  }

  @Test
  void theBodyLeavesTheGatewayOnce() {
    ReplicatedBatchCluster world = world(7);
    world.net.countBytes(world.gateways.get(0).address);
    acceptMs(world, "large");
    long body = (long) ITEMS * ITEM_BYTES;
    assertThat(world.net.countedBytes(), lessThanOrEqualTo(body * 3 / 2));
  }

  @Test
  void resultsLeaveTheGatewayFewTimes() {
    ReplicatedBatchCluster world = world(8);
    SimServers servers = world.gateways.get(0).servers;
    servers.capacity = ITEMS;
    servers.serviceTimeMs = 1_000;
    servers.staggerMs = STAGGER_MS;
    servers.eventPadding = "y".repeat(TEXT_BYTES / 2);
    acceptMs(world, "large");
    world.net.countBytes(world.gateways.get(0).address);
    world.timers.advance(1_000 + (ITEMS + 10) * STAGGER_MS);
    assertThat(servers.served.size(), is(ITEMS));
    long texts = (long) ITEMS * TEXT_BYTES;
    System.out.println(
        "results of "
            + texts
            + " bytes took "
            + world.net.countedBytes()
            + " on the gateway's link");
    assertThat(world.net.countedBytes(), lessThanOrEqualTo(texts * 4));
  }

  @Test
  void withTheNearestStoreDownALargeJobIsAcceptedNonetheless() {
    for (int down = 0; down < STORES; down++) {
      ReplicatedBatchCluster world = world(20 + down);
      world.stores.get(down).kill(false);
      world.timers.advance(200);
      acceptMs(world, "large");
    }
  }

  @Test
  void withAStoreFrozenALargeJobIsAcceptedNonetheless() {
    for (int frozen = 0; frozen < STORES; frozen++) {
      ReplicatedBatchCluster world = world(30 + frozen);
      world.net.freeze(world.stores.get(frozen).address);
      acceptMs(world, "first");
      assertThat("behind the first", acceptMs(world, "second"), lessThan(DUE_MS));
    }
  }
}
