package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import elmsail.batch.ItemServers.Ended;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class LeaseTest {
  private static final String NONE = "\"next_token\":0,\"deliveries\":[]";

  @Test
  void anEndedJobStopsAtOnceAtItsRunner() {
    SimWorld world = new SimWorld(10, 2, 1_000);
    SimServers servers = world.gateways.get(0).servers;
    servers.room = 2;
    assertThat(world.status(world.hand(0, "a", 9, 10)), is(202));
    world.timers.advance(100);
    assertThat(world.status(world.gateways.get(1).calls.end("a")), is(200));
    world.timers.advance(20);
    assertThat(servers.open(), is(0));
    world.timers.advance(5_000);
    assertThat(servers.runs, hasSize(2));
    assertThat(world.status(world.gateways.get(0).calls.end("a")), is(200));
    assertThat(world.status(world.gateways.get(0).calls.end("never")), is(404));
  }

  @Test
  void anEndThatTheRunnerIsNotToldOfStopsItInTime() {
    for (int seed = 0; seed < 30; seed++) {
      SimWorld world = new SimWorld(seed, 2, 1_000);
      SimWorld.Gateway runner = world.gateways.get(0);
      runner.servers.room = 1;
      runner.servers.serveMs = 60;
      assertThat(world.status(world.hand(0, "a", 200, 1)), is(202));
      world.timers.advance(200);
      world.cut(runner.address, world.gateways.get(1).address, true);
      if (seed % 2 == 0) {
        world.stores.forEach(store -> world.cut(runner.address, store.address, true));
      }
      assertThat(world.status(world.gateways.get(1).calls.end("a")), is(200));
      long ended = world.timers.now();
      world.timers.advance(10_000);
      assertThat("seed " + seed, runner.servers.last().at - ended, lessThanOrEqualTo(2_400L));
    }
  }

  @Test
  void aRunnerThatLosesItsLeaseStartsNothingMore() {
    SimWorld world = new SimWorld(11, 1, 1_000);
    SimWorld.Gateway runner = world.gateways.get(0);
    runner.servers.room = 1;
    runner.servers.serveMs = 50;
    assertThat(world.status(world.hand(0, "a", 200, 1)), is(202));
    world.timers.advance(300);
    world.stores.forEach(store -> world.cut(runner.address, store.address, true));
    long cutAt = world.timers.now();
    world.timers.advance(6_000);
    assertThat(runner.servers.last().at - cutAt, lessThanOrEqualTo(1_800L));
    world.cut.clear();
    int before = runner.servers.runs.size();
    world.timers.advance(3_000);
    assertThat(runner.servers.runs.size(), greaterThan(before));
  }

  @Test
  void aJobWhoseRunnerDiedIsTakenOverAndItsListingStays() {
    for (int seed = 0; seed < 20; seed++) {
      SimWorld world = new SimWorld(seed, 3, 1_000);
      world.gateways.get(0).servers.room = 2;
      assertThat(world.status(world.hand(0, "a", 5, 10)), is(202));
      world.timers.advance(50);
      world.gateways.get(0).servers.runs.get(1).serve();
      world.timers.advance(200);
      String first = world.read(1, "a", 0);
      assertThat(first, containsString("\"next_token\":1"));
      world.gateways.get(0).up = false;
      world.gateways.get(1).servers.serveMs = 40;
      world.gateways.get(2).servers.serveMs = 40;
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
  void theFormerRunnerListsNothingMoreAndTextsAreNotMixed() {
    SimWorld world = new SimWorld(12, 2, 1_000);
    SimWorld.Gateway former = world.gateways.get(0);
    assertThat(world.status(world.hand(0, "a", 1, 10)), is(202));
    world.timers.advance(30);
    former.servers.last().event(0, "former");
    world.stores.forEach(store -> world.cut(former.address, store.address, true));
    world.timers.advance(5_000);
    SimServers later = world.gateways.get(1).servers;
    assertThat(later.runs, hasSize(1));
    former.servers.runs.get(0).event(1, "former");
    former.servers.runs.get(0).end(Ended.WHOLE);
    later.last().serve();
    world.timers.advance(200);
    String listed = world.read(1, "a", 0);
    assertThat(listed, containsString("a-0/0"));
    world.cut.clear();
    world.timers.advance(5_000);
    assertThat(world.read(0, "a", 0), is(listed));
    assertThat(world.read(1, "a", 0), is(listed));
    assertThat(former.calls.running(), is(0));
  }

  @Test
  void aFormerRunnerThatComesBackFirstListsNothing() {
    SimWorld world = new SimWorld(20, 2, 1_000);
    SimWorld.Gateway former = world.gateways.get(0);
    assertThat(world.status(world.hand(0, "a", 2, 10)), is(202));
    world.timers.advance(30);
    world.stores.forEach(store -> world.cut(former.address, store.address, true));
    world.timers.advance(4_000);
    assertThat(world.gateways.get(1).calls.running(), is(1));
    former.servers.runs.forEach(
        run -> run.heard.event(0, "former".getBytes(StandardCharsets.UTF_8)));
    former.servers.runs.get(0).serve();
    world.cut.clear();
    world.timers.advance(3_000);
    assertThat(world.read(1, "a", 0), containsString(NONE));
    assertThat(former.calls.running(), is(0));
  }

  @Test
  void aFormerRunnerWithNothingToListStopsToo() {
    SimWorld world = new SimWorld(21, 2, 1_000);
    SimWorld.Gateway former = world.gateways.get(0);
    former.servers.room = 0;
    assertThat(world.status(world.hand(0, "a", 2, 10)), is(202));
    world.stores.forEach(store -> world.cut(former.address, store.address, true));
    world.timers.advance(5_000);
    world.cut.clear();
    world.timers.advance(2_000);
    assertThat(former.calls.running(), is(0));
    assertThat(world.gateways.get(1).calls.running(), is(1));
  }

  @Test
  void aRunnerThatOneStoreDoesNotHearKeepsItsJob() {
    SimWorld world = new SimWorld(22, 3, 1_000);
    SimWorld.Gateway runner = world.gateways.get(0);
    assertThat(world.status(world.hand(0, "a", 2, 10)), is(202));
    world.timers.advance(30);
    world.cut(runner.address, world.stores.get(1).address, true);
    world.timers.advance(20_000);
    assertThat(runner.calls.running(), is(1));
    assertThat(
        world.gateways.get(1).calls.running() + world.gateways.get(2).calls.running(), is(0));
    runner.servers.runs.get(0).serve();
    world.timers.advance(200);
    assertThat(world.read(2, "a", 0), containsString("\"next_token\":1"));
  }

  @Test
  void aStoreThatMissedTheEndOfAJobLearnsIt() {
    SimWorld world = new SimWorld(23, 2, 1_000);
    assertThat(world.status(world.hand(0, "a", 2, 10)), is(202));
    world.timers.advance(30);
    SimJobStore stale = world.stores.get(2);
    world.gateways.forEach(gateway -> world.cut(gateway.address, stale.address, true));
    world.gateways.get(0).servers.runs.forEach(SimServers.Run::serve);
    world.timers.advance(3_000);
    assertThat(SimWorld.waiting(stale), is(20L));
    world.cut.clear();
    world.timers.advance(12_000);
    assertThat(SimWorld.waiting(stale), is(0L));
  }

  @Test
  void aLiveRunnerKeepsItsJobsWhenAStoreRestarts() {
    SimWorld world = new SimWorld(13, 3, 1_000);
    assertThat(world.status(world.hand(0, "a", 1, 10)), is(202));
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
    SimWorld world = new SimWorld(14, 4, 0);
    for (int i = 0; i < 30; i++) {
      assertThat(world.status(world.hand(0, "lot" + i, 1, 10)), is(202));
    }
    world.gateways.get(0).up = false;
    world.timers.advance(12_000);
    for (int gateway = 1; gateway < 4; gateway++) {
      assertThat(world.gateways.get(gateway).servers.runs.size(), greaterThan(3));
    }
  }

  @Test
  void positionsNeverChangeUnderRandomTrouble() {
    for (int seed = 0; seed < 25; seed++) {
      SimWorld world = new SimWorld(seed, 3, 0);
      world.gateways.forEach(
          gateway -> {
            gateway.servers.serveMs = 300;
            gateway.servers.room = 3;
          });
      assertThat(world.status(world.hand(0, "a", 20, 10)), is(202));
      String before = "";
      for (int step = 0; step < 40; step++) {
        world.cut.clear();
        world.stores.forEach(store -> store.up = true);
        world.stores.get(world.chance.nextInt(3)).up = world.chance.nextBoolean();
        SimWorld.Gateway cutOff = world.gateways.get(world.chance.nextInt(3));
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
