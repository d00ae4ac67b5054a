package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import elmsail.batch.ItemServers.RunOutcome;
import elmsail.config.Route;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests items that fail, items that cannot be run, and jobs that are submitted again. */
class FailingItemsTest {
  private static final String NO_RESULTS = "\"next_token\":0,\"deliveries\":[]";
  private static final String FAILED_STATE = "\"state\":\"undeliverable\"";

  private static SimBatchCluster clusterWithAcceptedJob(long seed, int gateways, int items) {
    SimBatchCluster cluster = new SimBatchCluster(seed, gateways, 1_000);
    assertThat(cluster.status(cluster.submit(0, "a", items, 10)), is(202));
    cluster.timers.advance(30);
    return cluster;
  }

  private static SimBatchCluster.Gateway gatewayWithOpenRun(SimBatchCluster cluster) {
    for (SimBatchCluster.Gateway gateway : cluster.gateways) {
      if (gateway.up && gateway.servers.openRuns() > 0) {
        return gateway;
      }
    }
    throw new AssertionError("no live gateway has an open run");
  }

  private static void kill(SimBatchCluster.Gateway gateway) {
    gateway.up = false;
    gateway.servers.closeConnections();
  }

  /** Guards against a takeover that resets the count of responses with status 500. */
  @Test
  void theNextRunnerContinuesTheCountOfFailedAttempts() {
    for (int seed = 0; seed < 20; seed++) {
      SimBatchCluster cluster = clusterWithAcceptedJob(seed, 3, 1);
      cluster.gateways.get(0).servers.lastRun().end(RunOutcome.FAILED);
      cluster.timers.advance(300);
      assertThat(cluster.read(1, "a", 0), containsString(NO_RESULTS));
      kill(cluster.gateways.get(0));
      cluster.timers.advance(6_000);
      gatewayWithOpenRun(cluster).servers.lastRun().end(RunOutcome.FAILED);
      cluster.timers.advance(500);
      assertThat(
          "two failed attempts, seed " + seed,
          cluster.read(1, "a", 0),
          containsString(FAILED_STATE));
    }
  }

  /**
   * Guards against retries before the failed attempt is recorded: a takeover would then lose more
   * than one failed attempt.
   */
  @Test
  void aFailedItemIsRetriedOnlyOnceItsFailureIsRecorded() {
    SimBatchCluster cluster = clusterWithAcceptedJob(31, 1, 1);
    SimBatchCluster.Gateway gateway = cluster.gateways.get(0);
    cluster.stores.forEach(store -> cluster.setLinkCut(gateway.address, store.address, true));
    gateway.servers.lastRun().end(RunOutcome.FAILED);
    cluster.timers.advance(1_000);
    assertThat(gateway.servers.runs, hasSize(1));
    cluster.cutLinks.clear();
    cluster.timers.advance(5_000);
    assertThat(gateway.servers.runs, hasSize(2));
    gateway.servers.lastRun().end(RunOutcome.FAILED);
    cluster.timers.advance(500);
    assertThat(cluster.read(0, "a", 0), containsString(FAILED_STATE));
  }

  /** Runs with an unknown outcome and runs that a server did not start are not failed attempts. */
  @Test
  void onlyResponsesOf500CountAsFailedAttempts() {
    SimBatchCluster cluster = clusterWithAcceptedJob(32, 2, 1);
    cluster.gateways.get(0).servers.lastRun().end(RunOutcome.OUTCOME_UNKNOWN);
    cluster.timers.advance(500);
    cluster.gateways.get(0).servers.lastRun().end(RunOutcome.NOT_RUN);
    cluster.timers.advance(500);
    kill(cluster.gateways.get(0));
    cluster.timers.advance(6_000);
    SimBatchCluster.Gateway next = gatewayWithOpenRun(cluster);
    next.servers.lastRun().end(RunOutcome.FAILED);
    cluster.timers.advance(500);
    assertThat(cluster.read(1, "a", 0), containsString(NO_RESULTS));
    next.servers.lastRun().end(RunOutcome.FAILED);
    cluster.timers.advance(500);
    assertThat(cluster.read(1, "a", 0), containsString(FAILED_STATE));
  }

  /** Guards against a job that never completes because no store has its body. */
  @Test
  void anItemWhoseBodyIsLostFailsAfterItsTimeToLive() {
    SimBatchCluster cluster = new SimBatchCluster(33, 2, 1_000);
    cluster.gateways.get(0).servers.capacity = 0;
    assertThat(cluster.status(cluster.submit(0, "a", 2, 10)), is(202));
    cluster.stores.forEach(store -> store.keys.get("lot/a").blobs.clear());
    kill(cluster.gateways.get(0));
    cluster.timers.advance(58_000);
    assertThat(cluster.read(1, "a", 0), containsString(NO_RESULTS));
    cluster.timers.advance(6_000);
    assertThat(cluster.read(1, "a", 0), containsString("\"next_token\":2"));
  }

  /**
   * An item whose runs all end with an unknown outcome is retried until its time to live is over.
   */
  @Test
  void anItemWhoseRunsAllEndWithAnUnknownOutcomeFailsAfterItsTimeToLive() {
    SimBatchCluster cluster = clusterWithAcceptedJob(34, 1, 1);
    SimServers servers = cluster.gateways.get(0).servers;
    for (int i = 0; i < 120; i++) {
      servers.lastRun().end(RunOutcome.OUTCOME_UNKNOWN);
      cluster.timers.advance(500);
    }
    assertThat(servers.runs.size(), greaterThan(50));
    cluster.timers.advance(2_000);
    servers.lastRun().end(RunOutcome.OUTCOME_UNKNOWN);
    cluster.timers.advance(1_000);
    assertThat(cluster.read(0, "a", 0), containsString(FAILED_STATE));
  }

  /** An accepted job stays accepted after its routes were removed from the configuration. */
  @Test
  void aResubmittedJobIsAcceptedAfterItsRoutesWereRemoved() {
    SimBatchCluster cluster = clusterWithAcceptedJob(35, 2, 1);
    Route route = cluster.route();
    cluster.gateways.get(1).config = new SimConfig(2, List.of());
    byte[] jobA = JobJson.job("a", 1, 10);
    byte[] jobB = JobJson.job("b", 1, 10);
    BatchService secondGateway = cluster.gateways.get(1).batchApi;
    assertThat(
        cluster.status(secondGateway.submit(TenantName.NONE, route, "a", jobA, 3_000)), is(202));
    assertThat(
        cluster.status(secondGateway.submit(TenantName.NONE, route, "b", jobB, 3_000)), is(400));
    cluster.stores.get(0).up = false;
    cluster.stores.get(1).up = false;
    assertThat(
        cluster.status(secondGateway.submit(TenantName.NONE, route, "b", jobB, 3_000)), is(503));
  }

  /** A resubmission is accepted over quota, after completion and after cancellation. */
  @Test
  void aResubmittedJobIsAcceptedInAnyState() {
    SimBatchCluster cluster = new SimBatchCluster(36, 2, 100);
    assertThat(cluster.status(cluster.submit(0, "a", 10, 10)), is(202));
    assertThat("over quota", cluster.status(cluster.submit(1, "b", 1, 10)), is(429));
    assertThat(
        "resubmitted while the route is over quota",
        cluster.status(cluster.submit(1, "a", 10, 10)),
        is(202));
    cluster.timers.advance(100);
    List.copyOf(cluster.gateways.get(0).servers.runs).forEach(SimServers.Run::complete);
    cluster.timers.advance(500);
    assertThat(cluster.read(1, "a", 9), containsString("\"next_token\":10"));
    assertThat(
        "resubmitted after its completion",
        cluster.status(cluster.submit(1, "a", 10, 10)),
        is(202));
    assertThat(
        cluster.status(cluster.gateways.get(1).batchApi.cancel(TenantName.NONE, "a")), is(200));
    assertThat(
        "cancelled a second time",
        cluster.status(cluster.gateways.get(0).batchApi.cancel(TenantName.NONE, "a")),
        is(200));
    assertThat(
        "resubmitted after its cancellation",
        cluster.status(cluster.submit(0, "a", 10, 10)),
        is(202));
    int runs =
        cluster.gateways.get(0).servers.runs.size() + cluster.gateways.get(1).servers.runs.size();
    assertThat("each item ran once", runs, is(10));
  }
}
