package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import elmsail.batch.ItemServers.RunOutcome;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class JobLeaseTest {
  private static final String NO_RESULTS = "\"next_token\":0,\"deliveries\":[]";

  @Test
  void aCancelledJobIsStoppedAtOnceByItsRunner() {
    SimBatchCluster cluster = new SimBatchCluster(10, 2, 1_000);
    SimServers servers = cluster.gateways.get(0).servers;
    servers.capacity = 2;
    assertThat(cluster.status(cluster.submit(0, "a", 9, 10)), is(202));
    cluster.timers.advance(100);
    assertThat(
        cluster.status(cluster.gateways.get(1).batchApi.cancel(TenantName.NONE, "a")), is(200));
    cluster.timers.advance(20);
    assertThat(servers.openRuns(), is(0));
    cluster.timers.advance(5_000);
    assertThat(servers.runs, hasSize(2));
    assertThat(
        cluster.status(cluster.gateways.get(0).batchApi.cancel(TenantName.NONE, "a")), is(200));
    assertThat(
        cluster.status(cluster.gateways.get(0).batchApi.cancel(TenantName.NONE, "never")), is(404));
  }

  @Test
  void aCancellationThatDoesNotReachTheRunnerStopsItsRunsWithinTheBound() {
    for (int seed = 0; seed < 30; seed++) {
      SimBatchCluster cluster = new SimBatchCluster(seed, 2, 1_000);
      SimBatchCluster.Gateway runner = cluster.gateways.get(0);
      runner.servers.capacity = 1;
      runner.servers.serviceTimeMs = 60;
      assertThat(cluster.status(cluster.submit(0, "a", 200, 1)), is(202));
      cluster.timers.advance(200);
      cluster.setLinkCut(runner.address, cluster.gateways.get(1).address, true);
      if (seed % 2 == 0) {
        cluster.stores.forEach(store -> cluster.setLinkCut(runner.address, store.address, true));
      }
      assertThat(
          cluster.status(cluster.gateways.get(1).batchApi.cancel(TenantName.NONE, "a")), is(200));
      long cancelledAt = cluster.timers.now();
      cluster.timers.advance(10_000);
      assertThat(
          "seed " + seed,
          runner.servers.lastRun().startedAt - cancelledAt,
          lessThanOrEqualTo(2_400L));
    }
  }

  @Test
  void aRunnerWithoutConfirmedLeaseStartsNoItemsUntilTheStoresAreReachable() {
    SimBatchCluster cluster = new SimBatchCluster(11, 1, 1_000);
    SimBatchCluster.Gateway runner = cluster.gateways.get(0);
    runner.servers.capacity = 1;
    runner.servers.serviceTimeMs = 50;
    assertThat(cluster.status(cluster.submit(0, "a", 200, 1)), is(202));
    cluster.timers.advance(300);
    cluster.stores.forEach(store -> cluster.setLinkCut(runner.address, store.address, true));
    long cutAt = cluster.timers.now();
    cluster.timers.advance(6_000);
    assertThat(runner.servers.lastRun().startedAt - cutAt, lessThanOrEqualTo(1_800L));
    cluster.cutLinks.clear();
    int runsBefore = runner.servers.runs.size();
    cluster.timers.advance(3_000);
    assertThat(runner.servers.runs.size(), greaterThan(runsBefore));
  }

  @Test
  void aJobWhoseRunnerCrashedIsTakenOverAndItsRecordedResultsStay() {
    for (int seed = 0; seed < 20; seed++) {
      SimBatchCluster cluster = new SimBatchCluster(seed, 3, 1_000);
      cluster.gateways.get(0).servers.capacity = 2;
      assertThat(cluster.status(cluster.submit(0, "a", 5, 10)), is(202));
      cluster.timers.advance(50);
      cluster.gateways.get(0).servers.runs.get(1).complete();
      cluster.timers.advance(200);
      String resultsBefore = cluster.read(1, "a", 0);
      assertThat(resultsBefore, containsString("\"next_token\":1"));
      cluster.gateways.get(0).up = false;
      cluster.gateways.get(1).servers.serviceTimeMs = 40;
      cluster.gateways.get(2).servers.serviceTimeMs = 40;
      cluster.timers.advance(6_000);
      String resultsAfter = cluster.read(2, "a", 0);
      assertThat(resultsAfter, containsString("\"next_token\":5"));
      assertThat(
          resultsAfter.substring(resultsAfter.indexOf('[')),
          startsWith(
              resultsBefore.substring(resultsBefore.indexOf('['), resultsBefore.length() - 2)));
      int runs =
          cluster.gateways.get(1).servers.runs.size() + cluster.gateways.get(2).servers.runs.size();
      assertThat("runs of the 4 remaining items, seed " + seed, runs, is(4));
    }
  }

  @Test
  void aFormerRunnerRecordsNothingAndTextsAreNotMixed() {
    SimBatchCluster cluster = new SimBatchCluster(12, 2, 1_000);
    SimBatchCluster.Gateway former = cluster.gateways.get(0);
    assertThat(cluster.status(cluster.submit(0, "a", 1, 10)), is(202));
    cluster.timers.advance(30);
    former.servers.lastRun().event(0, "former");
    cluster.stores.forEach(store -> cluster.setLinkCut(former.address, store.address, true));
    cluster.timers.advance(5_000);
    SimServers newServers = cluster.gateways.get(1).servers;
    assertThat(newServers.runs, hasSize(1));
    former.servers.runs.get(0).event(1, "former");
    former.servers.runs.get(0).end(RunOutcome.COMPLETED);
    newServers.lastRun().complete();
    cluster.timers.advance(200);
    String results = cluster.read(1, "a", 0);
    assertThat(results, containsString("a-0/0"));
    cluster.cutLinks.clear();
    cluster.timers.advance(5_000);
    assertThat(cluster.read(0, "a", 0), is(results));
    assertThat(cluster.read(1, "a", 0), is(results));
    assertThat(former.batchApi.runningJobs(), is(0));
  }

  @Test
  void aFormerRunnerThatReconnectsRecordsNothing() {
    SimBatchCluster cluster = new SimBatchCluster(20, 2, 1_000);
    SimBatchCluster.Gateway former = cluster.gateways.get(0);
    assertThat(cluster.status(cluster.submit(0, "a", 2, 10)), is(202));
    cluster.timers.advance(30);
    cluster.stores.forEach(store -> cluster.setLinkCut(former.address, store.address, true));
    cluster.timers.advance(4_000);
    assertThat(cluster.gateways.get(1).batchApi.runningJobs(), is(1));
    former.servers.runs.forEach(
        run -> run.listener.onEvent(0, "former".getBytes(StandardCharsets.UTF_8)));
    former.servers.runs.get(0).complete();
    cluster.cutLinks.clear();
    cluster.timers.advance(3_000);
    assertThat(cluster.read(1, "a", 0), containsString(NO_RESULTS));
    assertThat(former.batchApi.runningJobs(), is(0));
  }

  @Test
  void aFormerRunnerWithoutResultsStopsTheJob() {
    SimBatchCluster cluster = new SimBatchCluster(21, 2, 1_000);
    SimBatchCluster.Gateway former = cluster.gateways.get(0);
    former.servers.capacity = 0;
    assertThat(cluster.status(cluster.submit(0, "a", 2, 10)), is(202));
    cluster.stores.forEach(store -> cluster.setLinkCut(former.address, store.address, true));
    cluster.timers.advance(5_000);
    cluster.cutLinks.clear();
    cluster.timers.advance(2_000);
    assertThat(former.batchApi.runningJobs(), is(0));
    assertThat(cluster.gateways.get(1).batchApi.runningJobs(), is(1));
  }

  @Test
  void aRunnerCutOffFromOneStoreKeepsItsJob() {
    SimBatchCluster cluster = new SimBatchCluster(22, 3, 1_000);
    SimBatchCluster.Gateway runner = cluster.gateways.get(0);
    assertThat(cluster.status(cluster.submit(0, "a", 2, 10)), is(202));
    cluster.timers.advance(30);
    cluster.setLinkCut(runner.address, cluster.stores.get(1).address, true);
    cluster.timers.advance(20_000);
    assertThat(runner.batchApi.runningJobs(), is(1));
    assertThat(
        cluster.gateways.get(1).batchApi.runningJobs()
            + cluster.gateways.get(2).batchApi.runningJobs(),
        is(0));
    runner.servers.runs.get(0).complete();
    cluster.timers.advance(200);
    assertThat(cluster.read(2, "a", 0), containsString("\"next_token\":1"));
  }

  @Test
  void aStoreThatMissedTheLastRecordOfAJobIsRepaired() {
    SimBatchCluster cluster = new SimBatchCluster(23, 2, 1_000);
    assertThat(cluster.status(cluster.submit(0, "a", 2, 10)), is(202));
    cluster.timers.advance(30);
    SimJobStore stale = cluster.stores.get(2);
    cluster.gateways.forEach(gateway -> cluster.setLinkCut(gateway.address, stale.address, true));
    cluster.gateways.get(0).servers.runs.forEach(SimServers.Run::complete);
    cluster.timers.advance(3_000);
    assertThat(SimBatchCluster.waitingTokens(stale), is(20L));
    cluster.cutLinks.clear();
    cluster.timers.advance(12_000);
    assertThat(SimBatchCluster.waitingTokens(stale), is(0L));
  }

  @Test
  void aLiveRunnerKeepsItsJobWhenStoresRestartOrFail() {
    SimBatchCluster cluster = new SimBatchCluster(13, 3, 1_000);
    assertThat(cluster.status(cluster.submit(0, "a", 1, 10)), is(202));
    for (int i = 0; i < 12; i++) {
      cluster.stores.get(i % 3).restart();
      cluster.timers.advance(1_000);
    }
    cluster.stores.get(0).up = false;
    cluster.timers.advance(10_000);
    assertThat(cluster.gateways.get(0).servers.runs, hasSize(1));
    assertThat(
        cluster.gateways.get(1).servers.runs.size() + cluster.gateways.get(2).servers.runs.size(),
        is(0));
  }

  @Test
  void abandonedJobsAreSpreadOverTheGateways() {
    SimBatchCluster cluster = new SimBatchCluster(14, 4, 0);
    for (int i = 0; i < 30; i++) {
      assertThat(cluster.status(cluster.submit(0, "lot" + i, 1, 10)), is(202));
    }
    cluster.gateways.get(0).up = false;
    cluster.timers.advance(12_000);
    for (int gateway = 1; gateway < 4; gateway++) {
      assertThat(cluster.gateways.get(gateway).servers.runs.size(), greaterThan(3));
    }
  }

  @Test
  void resultPositionsNeverChangeUnderRandomFaults() {
    for (int seed = 0; seed < 25; seed++) {
      SimBatchCluster cluster = new SimBatchCluster(seed, 3, 0);
      cluster.gateways.forEach(
          gateway -> {
            gateway.servers.serviceTimeMs = 300;
            gateway.servers.capacity = 3;
          });
      assertThat(cluster.status(cluster.submit(0, "a", 20, 10)), is(202));
      String resultsBefore = "";
      for (int step = 0; step < 40; step++) {
        cluster.cutLinks.clear();
        cluster.stores.forEach(store -> store.up = true);
        cluster.stores.get(cluster.random.nextInt(3)).up = cluster.random.nextBoolean();
        SimBatchCluster.Gateway cutOff = cluster.gateways.get(cluster.random.nextInt(3));
        if (step % 8 < 5) {
          cluster.stores.forEach(store -> cluster.setLinkCut(cutOff.address, store.address, true));
        }
        cluster.timers.advance(700);
        String response = cluster.read(step % 3, "a", 0);
        if (response.startsWith("200")) {
          String results = response.substring(response.indexOf('[') + 1, response.length() - 2);
          assertThat("seed " + seed, results, startsWith(resultsBefore));
          resultsBefore = results;
        }
      }
      cluster.cutLinks.clear();
      cluster.stores.forEach(store -> store.up = true);
      cluster.timers.advance(20_000);
      String finalResponse = cluster.read(0, "a", 0);
      assertThat("seed " + seed, finalResponse, containsString("\"next_token\":20"));
      for (int i = 0; i < 20; i++) {
        assertThat(
            "seed " + seed, finalResponse, containsString(JobJson.completedResult("a-" + i)));
      }
    }
  }
}
