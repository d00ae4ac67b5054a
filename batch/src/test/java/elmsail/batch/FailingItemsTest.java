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

/** Items that fail, jobs that are stuck, and jobs that are sent again. */
class FailingItemsTest {
  private static final String NONE = "\"next_token\":0,\"deliveries\":[]";
  private static final String GIVEN_UP = "\"state\":\"undeliverable\"";

  private static SimBatchCluster accepted(long seed, int gateways, int items) {
    SimBatchCluster world = new SimBatchCluster(seed, gateways, 1_000);
    assertThat(world.status(world.submit(0, "a", items, 10)), is(202));
    world.timers.advance(30);
    return world;
  }

  private static SimBatchCluster.Gateway runner(SimBatchCluster world) {
    for (SimBatchCluster.Gateway gateway : world.gateways) {
      if (gateway.up && gateway.servers.openRuns() > 0) {
        return gateway;
      }
    }
    throw new AssertionError("nobody runs the item");
  }

  private static void kill(SimBatchCluster.Gateway gateway) {
    gateway.up = false;
    gateway.servers.closeConnections();
  }

  /** BUDGET: the answers of 500 are counted over all the gateways that run the job in turn. */
  @Test
  void theNextRunnerContinuesTheCountOfFailedAttempts() {
    for (int seed = 0; seed < 20; seed++) {
      SimBatchCluster world = accepted(seed, 3, 1);
      world.gateways.get(0).servers.lastRun().end(RunOutcome.FAILED);
      world.timers.advance(300);
      assertThat(world.read(1, "a", 0), containsString(NONE));
      kill(world.gateways.get(0));
      world.timers.advance(6_000);
      runner(world).servers.lastRun().end(RunOutcome.FAILED);
      world.timers.advance(500);
      assertThat("two answers, seed " + seed, world.read(1, "a", 0), containsString(GIVEN_UP));
    }
  }

  /** BUDGET: whoever takes the job over in between misses one answer at most. */
  @Test
  void aFailedItemIsRetriedOnlyOnceItsFailureIsRecorded() {
    SimBatchCluster world = accepted(31, 1, 1);
    SimBatchCluster.Gateway gateway = world.gateways.get(0);
    world.stores.forEach(store -> world.cut(gateway.address, store.address, true));
    gateway.servers.lastRun().end(RunOutcome.FAILED);
    world.timers.advance(1_000);
    assertThat(gateway.servers.runs, hasSize(1));
    world.cut.clear();
    world.timers.advance(5_000);
    assertThat(gateway.servers.runs, hasSize(2));
    gateway.servers.lastRun().end(RunOutcome.FAILED);
    world.timers.advance(500);
    assertThat(world.read(0, "a", 0), containsString(GIVEN_UP));
  }

  /** MIXED: neither cuts nor refusals of servers count, whoever saw them. */
  @Test
  void onlyResponsesOf500CountAsFailedAttempts() {
    SimBatchCluster world = accepted(32, 2, 1);
    world.gateways.get(0).servers.lastRun().end(RunOutcome.OUTCOME_UNKNOWN);
    world.timers.advance(500);
    world.gateways.get(0).servers.lastRun().end(RunOutcome.NOT_RUN);
    world.timers.advance(500);
    kill(world.gateways.get(0));
    world.timers.advance(6_000);
    SimBatchCluster.Gateway next = runner(world);
    next.servers.lastRun().end(RunOutcome.FAILED);
    world.timers.advance(500);
    assertThat(world.read(1, "a", 0), containsString(NONE));
    next.servers.lastRun().end(RunOutcome.FAILED);
    world.timers.advance(500);
    assertThat(world.read(1, "a", 0), containsString(GIVEN_UP));
  }

  /** LOST: a job whose body nobody can give is not stuck for ever. */
  @Test
  void anItemWithoutABodyFailsAfterItsShelfLife() {
    SimBatchCluster world = new SimBatchCluster(33, 2, 1_000);
    world.gateways.get(0).servers.capacity = 0;
    assertThat(world.status(world.submit(0, "a", 2, 10)), is(202));
    world.stores.forEach(store -> store.keys.get("lot/a").blobs.clear());
    kill(world.gateways.get(0));
    world.timers.advance(58_000);
    assertThat(world.read(1, "a", 0), containsString(NONE));
    world.timers.advance(6_000);
    assertThat(world.read(1, "a", 0), containsString("\"next_token\":2"));
  }

  /** LOST: an item whose runs all break is tried again and again, and then given up. */
  @Test
  void anItemWhoseRunsAllBreakFailsAfterItsShelfLife() {
    SimBatchCluster world = accepted(34, 1, 1);
    SimServers servers = world.gateways.get(0).servers;
    for (int i = 0; i < 120; i++) {
      servers.lastRun().end(RunOutcome.OUTCOME_UNKNOWN);
      world.timers.advance(500);
    }
    assertThat(servers.runs.size(), greaterThan(50));
    world.timers.advance(2_000);
    servers.lastRun().end(RunOutcome.OUTCOME_UNKNOWN);
    world.timers.advance(1_000);
    assertThat(world.read(0, "a", 0), containsString(GIVEN_UP));
  }

  /** LOST: what was taken is taken, whatever the routes have become. */
  @Test
  void aResubmittedJobIsAcceptedThoughItsRoutesAreGone() {
    SimBatchCluster world = accepted(35, 2, 1);
    Route route = world.route();
    world.gateways.get(1).config = new SimConfig(2, List.of());
    byte[] same = SimBatchCluster.job("a", 1, 10);
    byte[] other = SimBatchCluster.job("b", 1, 10);
    BatchService second = world.gateways.get(1).batchApi;
    assertThat(world.status(second.submit(route, "a", same, 3_000)), is(202));
    assertThat(world.status(second.submit(route, "b", other, 3_000)), is(400));
    world.stores.get(0).up = false;
    world.stores.get(1).up = false;
    assertThat(world.status(second.submit(route, "b", other, 3_000)), is(503));
  }

  /** LOST: a job that comes again is turned away neither when full, nor done, nor ended. */
  @Test
  void aResubmittedJobIsAcceptedInAnyState() {
    SimBatchCluster world = new SimBatchCluster(36, 2, 100);
    assertThat(world.status(world.submit(0, "a", 10, 10)), is(202));
    assertThat("full", world.status(world.submit(1, "b", 1, 10)), is(429));
    assertThat("while it is full", world.status(world.submit(1, "a", 10, 10)), is(202));
    world.timers.advance(100);
    List.copyOf(world.gateways.get(0).servers.runs).forEach(SimServers.Run::serve);
    world.timers.advance(500);
    assertThat(world.read(1, "a", 9), containsString("\"next_token\":10"));
    assertThat("when it is done", world.status(world.submit(1, "a", 10, 10)), is(202));
    assertThat(world.status(world.gateways.get(1).batchApi.cancel("a")), is(200));
    assertThat("again", world.status(world.gateways.get(0).batchApi.cancel("a")), is(200));
    assertThat("when it is ended", world.status(world.submit(0, "a", 10, 10)), is(202));
    int runs =
        world.gateways.get(0).servers.runs.size() + world.gateways.get(1).servers.runs.size();
    assertThat("each item ran once", runs, is(10));
  }
}
