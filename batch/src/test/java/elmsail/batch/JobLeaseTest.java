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
  private static final String NONE = "\"next_token\":0,\"deliveries\":[]";

  @Test
  void aCancelledJobStopsAtOnceAtItsRunner() {
    SimBatchCluster world = new SimBatchCluster(10, 2, 1_000);
    SimServers servers = world.gateways.get(0).servers;
    servers.capacity = 2;
    assertThat(world.status(world.submit(0, "a", 9, 10)), is(202));
    world.timers.advance(100);
    assertThat(world.status(world.gateways.get(1).batchApi.cancel("a")), is(200));
    world.timers.advance(20);
    assertThat(servers.openRuns(), is(0));
    world.timers.advance(5_000);
    assertThat(servers.runs, hasSize(2));
    assertThat(world.status(world.gateways.get(0).batchApi.cancel("a")), is(200));
    assertThat(world.status(world.gateways.get(0).batchApi.cancel("never")), is(404));
  }

  @Test
  void aCancellationThatDoesNotReachTheRunnerStopsItInTime() {
    for (int seed = 0; seed < 30; seed++) {
      SimBatchCluster world = new SimBatchCluster(seed, 2, 1_000);
      SimBatchCluster.Gateway runner = world.gateways.get(0);
      runner.servers.capacity = 1;
      runner.servers.serviceTimeMs = 60;
      assertThat(world.status(world.submit(0, "a", 200, 1)), is(202));
      world.timers.advance(200);
      world.cut(runner.address, world.gateways.get(1).address, true);
      if (seed % 2 == 0) {
        world.stores.forEach(store -> world.cut(runner.address, store.address, true));
      }
      assertThat(world.status(world.gateways.get(1).batchApi.cancel("a")), is(200));
      long ended = world.timers.now();
      world.timers.advance(10_000);
      assertThat(
          "seed " + seed, runner.servers.lastRun().startedAt - ended, lessThanOrEqualTo(2_400L));
    }
  }

  @Test
  void aRunnerThatLosesItsLeaseStartsNothingMore() {
    SimBatchCluster world = new SimBatchCluster(11, 1, 1_000);
    SimBatchCluster.Gateway runner = world.gateways.get(0);
    runner.servers.capacity = 1;
    runner.servers.serviceTimeMs = 50;
    assertThat(world.status(world.submit(0, "a", 200, 1)), is(202));
    world.timers.advance(300);
    world.stores.forEach(store -> world.cut(runner.address, store.address, true));
    long cutAt = world.timers.now();
    world.timers.advance(6_000);
    assertThat(runner.servers.lastRun().startedAt - cutAt, lessThanOrEqualTo(1_800L));
    world.cut.clear();
    int before = runner.servers.runs.size();
    world.timers.advance(3_000);
    assertThat(runner.servers.runs.size(), greaterThan(before));
  }

  @Test
  void aJobWhoseRunnerDiedIsTakenOverAndItsResultsStay() {
    for (int seed = 0; seed < 20; seed++) {
      SimBatchCluster world = new SimBatchCluster(seed, 3, 1_000);
      world.gateways.get(0).servers.capacity = 2;
      assertThat(world.status(world.submit(0, "a", 5, 10)), is(202));
      world.timers.advance(50);
      world.gateways.get(0).servers.runs.get(1).serve();
      world.timers.advance(200);
      String first = world.read(1, "a", 0);
      assertThat(first, containsString("\"next_token\":1"));
      world.gateways.get(0).up = false;
      world.gateways.get(1).servers.serviceTimeMs = 40;
      world.gateways.get(2).servers.serviceTimeMs = 40;
      world.timers.advance(6_000);
      String later = world.read(2, "a", 0);
      assertThat(later, containsString("\"next_token\":5"));
      assertThat(
          later.substring(later.indexOf('[')),
          startsWith(first.substring(first.indexOf('['), first.length() - 2)));
      int runs =
          world.gateways.get(1).servers.runs.size() + world.gateways.get(2).servers.runs.size();
      assertThat("each left once, seed " + seed, runs, is(4));
    }
  }

  @Test
  void aFormerRunnerRecordsNothingAndTextsAreNotMixed() {
    SimBatchCluster world = new SimBatchCluster(12, 2, 1_000);
    SimBatchCluster.Gateway former = world.gateways.get(0);
    assertThat(world.status(world.submit(0, "a", 1, 10)), is(202));
    world.timers.advance(30);
    former.servers.lastRun().event(0, "former");
    world.stores.forEach(store -> world.cut(former.address, store.address, true));
    world.timers.advance(5_000);
    SimServers later = world.gateways.get(1).servers;
    assertThat(later.runs, hasSize(1));
    former.servers.runs.get(0).event(1, "former");
    former.servers.runs.get(0).end(RunOutcome.COMPLETED);
    later.lastRun().serve();
    world.timers.advance(200);
    String listed = world.read(1, "a", 0);
    assertThat(listed, containsString("a-0/0"));
    world.cut.clear();
    world.timers.advance(5_000);
    assertThat(world.read(0, "a", 0), is(listed));
    assertThat(world.read(1, "a", 0), is(listed));
    assertThat(former.batchApi.runningJobs(), is(0));
  }

  @Test
  void aFormerRunnerThatReconnectsRecordsNothing() {
    SimBatchCluster world = new SimBatchCluster(20, 2, 1_000);
    SimBatchCluster.Gateway former = world.gateways.get(0);
    assertThat(world.status(world.submit(0, "a", 2, 10)), is(202));
    world.timers.advance(30);
    world.stores.forEach(store -> world.cut(former.address, store.address, true));
    world.timers.advance(4_000);
    assertThat(world.gateways.get(1).batchApi.runningJobs(), is(1));
    former.servers.runs.forEach(
        run -> run.listener.onEvent(0, "former".getBytes(StandardCharsets.UTF_8)));
    former.servers.runs.get(0).serve();
    world.cut.clear();
    world.timers.advance(3_000);
    assertThat(world.read(1, "a", 0), containsString(NONE));
    assertThat(former.batchApi.runningJobs(), is(0));
  }

  @Test
  void aFormerRunnerWithoutResultsStopsToo() {
    SimBatchCluster world = new SimBatchCluster(21, 2, 1_000);
    SimBatchCluster.Gateway former = world.gateways.get(0);
    former.servers.capacity = 0;
    assertThat(world.status(world.submit(0, "a", 2, 10)), is(202));
    world.stores.forEach(store -> world.cut(former.address, store.address, true));
    world.timers.advance(5_000);
    world.cut.clear();
    world.timers.advance(2_000);
    assertThat(former.batchApi.runningJobs(), is(0));
    assertThat(world.gateways.get(1).batchApi.runningJobs(), is(1));
  }

  @Test
  void aRunnerCutOffFromOneStoreKeepsItsJob() {
    SimBatchCluster world = new SimBatchCluster(22, 3, 1_000);
    SimBatchCluster.Gateway runner = world.gateways.get(0);
    assertThat(world.status(world.submit(0, "a", 2, 10)), is(202));
    world.timers.advance(30);
    world.cut(runner.address, world.stores.get(1).address, true);
    world.timers.advance(20_000);
    assertThat(runner.batchApi.runningJobs(), is(1));
    assertThat(
        world.gateways.get(1).batchApi.runningJobs() + world.gateways.get(2).batchApi.runningJobs(),
        is(0));
    runner.servers.runs.get(0).serve();
    world.timers.advance(200);
    assertThat(world.read(2, "a", 0), containsString("\"next_token\":1"));
  }

  @Test
  void aStoreThatMissedTheLastRecordOfAJobIsRepaired() {
    SimBatchCluster world = new SimBatchCluster(23, 2, 1_000);
    assertThat(world.status(world.submit(0, "a", 2, 10)), is(202));
    world.timers.advance(30);
    SimJobStore stale = world.stores.get(2);
    world.gateways.forEach(gateway -> world.cut(gateway.address, stale.address, true));
    world.gateways.get(0).servers.runs.forEach(SimServers.Run::serve);
    world.timers.advance(3_000);
    assertThat(SimBatchCluster.waitingTokens(stale), is(20L));
    world.cut.clear();
    world.timers.advance(12_000);
    assertThat(SimBatchCluster.waitingTokens(stale), is(0L));
  }

  @Test
  void aLiveRunnerKeepsItsJobsWhenAStoreRestarts() {
    SimBatchCluster world = new SimBatchCluster(13, 3, 1_000);
    assertThat(world.status(world.submit(0, "a", 1, 10)), is(202));
    for (int i = 0; i < 12; i++) {
      world.stores.get(i % 3).restart();
      world.timers.advance(1_000);
    }
    world.stores.get(0).up = false;
    world.timers.advance(10_000);
    assertThat(world.gateways.get(0).servers.runs, hasSize(1));
    assertThat(
        world.gateways.get(1).servers.runs.size() + world.gateways.get(2).servers.runs.size(),
        is(0));
  }

  @Test
  void abandonedJobsAreSpreadOverTheGateways() {
    SimBatchCluster world = new SimBatchCluster(14, 4, 0);
    for (int i = 0; i < 30; i++) {
      assertThat(world.status(world.submit(0, "lot" + i, 1, 10)), is(202));
    }
    world.gateways.get(0).up = false;
    world.timers.advance(12_000);
    for (int gateway = 1; gateway < 4; gateway++) {
      assertThat(world.gateways.get(gateway).servers.runs.size(), greaterThan(3));
    }
  }

  @Test
  void resultPositionsNeverChangeUnderRandomFaults() {
    for (int seed = 0; seed < 25; seed++) {
      SimBatchCluster world = new SimBatchCluster(seed, 3, 0);
      world.gateways.forEach(
          gateway -> {
            gateway.servers.serviceTimeMs = 300;
            gateway.servers.capacity = 3;
          });
      assertThat(world.status(world.submit(0, "a", 20, 10)), is(202));
      String before = "";
      for (int step = 0; step < 40; step++) {
        world.cut.clear();
        world.stores.forEach(store -> store.up = true);
        world.stores.get(world.random.nextInt(3)).up = world.random.nextBoolean();
        SimBatchCluster.Gateway cutOff = world.gateways.get(world.random.nextInt(3));
        if (step % 8 < 5) {
          world.stores.forEach(store -> world.cut(cutOff.address, store.address, true));
        }
        world.timers.advance(700);
        String now = world.read(step % 3, "a", 0);
        if (now.startsWith("200")) {
          String list = now.substring(now.indexOf('[') + 1, now.length() - 2);
          assertThat("seed " + seed, list, startsWith(before));
          before = list;
        }
      }
      world.cut.clear();
      world.stores.forEach(store -> store.up = true);
      world.timers.advance(20_000);
      String end = world.read(0, "a", 0);
      assertThat("seed " + seed, end, containsString("\"next_token\":20"));
      for (int i = 0; i < 20; i++) {
        String message =
            "{\"id\":\"a-"
                + i
                + "\",\"state\":\"delivered\",\"message\":\"a-"
                + i
                + "/0\\u000aa-"
                + i
                + "/1\"}";
        assertThat("seed " + seed, end, containsString(message));
      }
    }
  }
}
