package elmsail.batch;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import elmsail.batch.BatchService.Reply;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Jobs of several tenants: the limit that each job counts against, the tenant that items run for,
 * and the callers that may access a job.
 */
class TenantJobsTest {
  private static final TenantName ARGUS = new TenantName("argus");
  private static final TenantName BORA = new TenantName("bora");

  private static SimBatchCluster cluster(long seed, int gatewayCount, long limit) {
    SimBatchCluster cluster = new SimBatchCluster(seed, gatewayCount, limit);
    cluster.configure(cluster.initialConfig.withKeysRequired());
    return cluster;
  }

  private static BatchService service(SimBatchCluster cluster, int gateway) {
    return cluster.gateways.get(gateway).batchApi;
  }

  private static Reply results(SimBatchCluster cluster, TenantName tenant, int gateway) {
    return cluster.await(service(cluster, gateway).readResults(tenant, "a", 0, 0));
  }

  @Test
  void oneTenantsJobsDoNotUseUpTheLimitOfAnother() {
    SimBatchCluster cluster = cluster(1, 3, 100);
    assertThat(cluster.status(cluster.submit(ARGUS, 0, "a", 10, 10)), is(202));
    assertThat("another tenant", cluster.status(cluster.submit(BORA, 1, "b", 10, 10)), is(202));
    assertThat(
        "the first tenant again", cluster.status(cluster.submit(ARGUS, 2, "c", 1, 1)), is(429));
    assertThat(
        "the other tenant again", cluster.status(cluster.submit(BORA, 2, "d", 1, 1)), is(429));
    assertThat("without a tenant", cluster.status(cluster.submit(0, "e", 10, 10)), is(401));
  }

  @Test
  void aRestartedStoreCountsEachTenantsJobsOnItsDisk() {
    SimBatchCluster cluster = cluster(2, 2, 100);
    assertThat(cluster.status(cluster.submit(ARGUS, 0, "a", 8, 10)), is(202));
    cluster.stores.get(0).restart();
    cluster.stores.get(1).up = false;
    assertThat(cluster.status(cluster.submit(ARGUS, 1, "b", 3, 10)), is(429));
    assertThat(cluster.status(cluster.submit(BORA, 1, "c", 3, 10)), is(202));
  }

  @Test
  void itemsRunForTheJobsTenantAfterATakeover() {
    SimBatchCluster cluster = cluster(3, 2, 0);
    assertThat(cluster.status(cluster.submit(ARGUS, 0, "a", 2, 10)), is(202));
    cluster.timers.advance(100);
    cluster.gateways.get(0).up = false;
    cluster.gateways.get(0).servers.closeConnections();
    cluster.timers.advance(10_000);
    for (SimBatchCluster.Gateway gateway : cluster.gateways) {
      List<TenantName> tenants = gateway.servers.runs.stream().map(run -> run.tenant).toList();
      assertThat(gateway.address, tenants, hasSize(2));
      assertThat(gateway.address, tenants, everyItem(is(ARGUS)));
    }
  }

  @Test
  void callsForAnotherTenantsJobAreAnsweredNotFound() {
    SimBatchCluster cluster = cluster(4, 2, 0);
    cluster.gateways.get(0).servers.serviceTimeMs = 2_000;
    assertThat(cluster.status(cluster.submit(ARGUS, 0, "a", 2, 10)), is(202));
    for (TenantName other : List.of(BORA, TenantName.NONE)) {
      for (int gateway = 0; gateway < 2; gateway++) {
        BatchService service = service(cluster, gateway);
        String caller = "tenant '" + other.value() + "' at " + gateway;
        assertThat(caller, results(cluster, other, gateway).status(), is(404));
        assertThat(caller, cluster.status(service.readItemBody(other, "a", "a-1")), is(404));
        assertThat(caller, cluster.status(service.cancel(other, "a")), is(404));
      }
    }
    cluster.timers.advance(3_000);
    Reply own = results(cluster, ARGUS, 1);
    assertThat("not cancelled by others", new String(own.body(), UTF_8), containsString("a-1"));
    assertThat(cluster.status(service(cluster, 1).readItemBody(ARGUS, "a", "a-1")), is(200));
    assertThat(cluster.status(service(cluster, 1).cancel(ARGUS, "a")), is(200));
  }

  /**
   * A gateway that cannot read the record does not know which tenant the job belongs to. A 404
   * reply would make the owner believe that the job was lost.
   */
  @Test
  void withoutAQuorumNoCallIsAnsweredNotFound() {
    SimBatchCluster cluster = cluster(5, 1, 0);
    assertThat(cluster.status(cluster.submit(ARGUS, 0, "a", 2, 10)), is(202));
    String gateway = cluster.gateways.get(0).address;
    cluster.stores.forEach(store -> cluster.setLinkCut(gateway, store.address, true));
    for (TenantName caller : List.of(ARGUS, BORA)) {
      BatchService service = service(cluster, 0);
      assertThat(results(cluster, caller, 0).status(), is(503));
      assertThat(cluster.status(service.readItemBody(caller, "a", "a-1")), is(503));
      int cancelled = cluster.status(service.cancel(caller, "a"));
      assertThat("cancel: " + cancelled, cancelled == 503 || cancelled == 504, is(true));
    }
  }

  @Test
  void submissionUnderAnotherTenantsJobIdIsAnsweredConflict() {
    SimBatchCluster cluster = cluster(6, 2, 0);
    assertThat(cluster.status(cluster.submit(ARGUS, 0, "a", 2, 10)), is(202));
    for (int gateway = 0; gateway < 2; gateway++) {
      assertThat(cluster.status(cluster.submit(BORA, gateway, "a", 3, 10)), is(409));
      assertThat(cluster.status(cluster.submit(ARGUS, gateway, "a", 2, 10)), is(202));
    }
    byte[] withoutRoute =
        new String(JobJson.job("a", 1, 1), UTF_8).replace("/lots1/", "/other/").getBytes(UTF_8);
    BatchService service = service(cluster, 1);
    assertThat(
        "its route was removed",
        cluster.status(service.submit(ARGUS, cluster.route(), "a", withoutRoute, 1_000)),
        is(202));
    assertThat(
        cluster.status(service.submit(BORA, cluster.route(), "a", withoutRoute, 1_000)), is(409));
  }

  /**
   * The gateway whose submission lost the race must not run its own items under the other tenant's
   * job.
   */
  @Test
  void concurrentSubmissionsOfOneIdByTwoTenantsCreateOneJob() {
    for (int seed = 0; seed < 60; seed++) {
      SimBatchCluster cluster = cluster(seed, 2, seed % 2 == 0 ? 0 : 100);
      CompletableFuture<Reply> first = cluster.submit(ARGUS, 0, "a", 2, 10);
      cluster.timers.advance(seed % 10);
      CompletableFuture<Reply> second = cluster.submit(BORA, seed / 10 % 2, "a", 3, 10);
      List<Integer> statuses = List.of(cluster.status(first), cluster.status(second));
      cluster.timers.advance(100);
      boolean firstWon = statuses.equals(List.of(202, 409));
      assertThat("seed " + seed + statuses, firstWon || statuses.equals(List.of(409, 202)));
      TenantName winner = firstWon ? ARGUS : BORA;
      for (SimBatchCluster.Gateway gateway : cluster.gateways) {
        for (SimServers.Run run : gateway.servers.runs) {
          assertThat("seed " + seed, run.tenant, is(winner));
        }
      }
      int items = cluster.gateways.stream().mapToInt(gateway -> gateway.servers.runs.size()).sum();
      assertThat("seed " + seed, items, is(firstWon ? 2 : 3));
    }
  }

  @Test
  void jobWithoutATenantIsAccessibleToAllCallers() {
    SimBatchCluster cluster = new SimBatchCluster(7, 2, 0);
    assertThat(cluster.status(cluster.submit(0, "a", 2, 10)), is(202));
    cluster.configure(cluster.initialConfig.withKeysRequired());
    for (TenantName caller : List.of(ARGUS, BORA, TenantName.NONE)) {
      assertThat(results(cluster, caller, 1).status(), is(200));
      BatchService service = service(cluster, 1);
      assertThat(cluster.status(service.readItemBody(caller, "a", "a-1")), is(200));
    }
    assertThat("sent again", cluster.status(cluster.submit(ARGUS, 1, "a", 2, 10)), is(202));
    assertThat(cluster.status(service(cluster, 1).cancel(BORA, "a")), is(200));
  }

  /** Without keys, callers cannot prove which tenant they belong to, so none is denied access. */
  @Test
  void everyJobIsAccessibleWhenTheConfigurationRequiresNoKeys() {
    SimBatchCluster cluster = cluster(8, 2, 0);
    assertThat(cluster.status(cluster.submit(ARGUS, 0, "a", 2, 10)), is(202));
    cluster.configure(cluster.initialConfig);
    assertThat(results(cluster, TenantName.NONE, 1).status(), is(200));
    assertThat(cluster.status(service(cluster, 1).cancel(TenantName.NONE, "a")), is(200));
  }

  /**
   * A job may be submitted on an open route without a key. Its items must still not reach routes
   * that need a key.
   */
  @Test
  void jobWithoutAKeyIsUnauthorizedIfAnItemsRouteNeedsAKey() {
    SimBatchCluster cluster = cluster(9, 1, 0);
    cluster.configure(cluster.initialConfig.withKeysRequired().withOpenRoute("/open1/"));
    byte[] items = JobJson.job("a", 1, 1);
    byte[] openItems = new String(items, UTF_8).replace("/lots1/", "/open1/").getBytes(UTF_8);
    BatchService service = service(cluster, 0);
    TenantName noTenant = TenantName.NONE;
    assertThat(
        cluster.status(service.submit(noTenant, cluster.route(), "a", items, 1_000)), is(401));
    assertThat(
        cluster.status(service.submit(noTenant, cluster.route(), "a", openItems, 1_000)), is(202));
    assertThat(cluster.status(service.submit(ARGUS, cluster.route(), "b", items, 1_000)), is(202));
  }

  /** Jobs that one tenant submitted earlier must not starve the jobs of another tenant. */
  @Test
  void floodOfOneTenantsJobsDoesNotStarveAnotherTenant() {
    SimBatchCluster cluster = cluster(10, 1, 0);
    SimServers servers = cluster.gateways.get(0).servers;
    servers.capacity = 4;
    servers.serviceTimeMs = 100;
    for (int i = 0; i < 20; i++) {
      assertThat(cluster.status(cluster.submit(ARGUS, 0, "a" + i, 10, 10)), is(202));
    }
    assertThat(cluster.status(cluster.submit(BORA, 0, "b", 10, 10)), is(202));
    cluster.timers.advance(1_000);
    long completed =
        servers.completedItemIds.stream().filter(item -> item.startsWith("b-")).count();
    assertThat("items of the other tenant within 1 s", completed, is(10L));
    int runsBefore = servers.runs.size();
    cluster.timers.advance(1_000);
    // A run takes 100 ms, and the next poll of the capacity, within 40 ms, finds the free slot.
    int runsPerSlot = 1_000 / 140;
    assertThat(
        "all slots are used",
        servers.runs.size() - runsBefore,
        greaterThanOrEqualTo(4 * runsPerSlot));
  }
}
