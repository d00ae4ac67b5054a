package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import elmsail.batch.ItemServers.Ended;
import elmsail.config.Route;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Items that fail, jobs that are stuck, and jobs that are sent again. */
class FailingItemsTest {
  private static final String NONE = "\"next_token\":0,\"deliveries\":[]";
  private static final String GIVEN_UP = "\"state\":\"undeliverable\"";

  private static SimWorld accepted(long seed, int gateways, int batchItems) {
    SimWorld world = new SimWorld(seed, gateways, 1_000);
    assertThat(world.status(world.hand(0, "a", batchItems, 10)), is(202));
    world.timers.advance(30);
    return world;
  }

  private static SimWorld.Gateway runner(SimWorld world) {
    for (SimWorld.Gateway gateway : world.gateways) {
      if (gateway.up && gateway.servers.open() > 0) {
        return gateway;
      }
    }
    throw new AssertionError("nobody runs the item");
  }

  private static void kill(SimWorld.Gateway gateway) {
    gateway.up = false;
    gateway.servers.drop();
  }

  /** BUDGET: the answers of 500 are counted over all the gateways that run the job in turn. */
  @Test
  void theNextRunnerCountsOnFromTheFailuresOfTheOneBefore() {
    for (int seed = 0; seed < 20; seed++) {
      SimWorld world = accepted(seed, 3, 1);
      world.gateways.get(0).servers.last().end(Ended.FAILED);
      world.timers.advance(300);
      assertThat(world.read(1, "a", 0), containsString(NONE));
      kill(world.gateways.get(0));
      world.timers.advance(6_000);
      runner(world).servers.last().end(Ended.FAILED);
      world.timers.advance(500);
      assertThat("two answers, seed " + seed, world.read(1, "a", 0), containsString(GIVEN_UP));
    }
  }

  /** BUDGET: whoever takes the job over in between misses one answer at most. */
  @Test
  void anItemThatFailedRunsAgainOnlyOnceThatIsOnRecord() {
    SimWorld world = accepted(31, 1, 1);
    SimWorld.Gateway gateway = world.gateways.get(0);
    world.stores.forEach(store -> world.cut(gateway.address, store.address, true));
    gateway.servers.last().end(Ended.FAILED);
    world.timers.advance(1_000);
    assertThat(gateway.servers.runs, hasSize(1));
    world.cut.clear();
    world.timers.advance(5_000);
    assertThat(gateway.servers.runs, hasSize(2));
    gateway.servers.last().end(Ended.FAILED);
    world.timers.advance(500);
    assertThat(world.read(0, "a", 0), containsString(GIVEN_UP));
  }

  /** MIXED: neither cuts nor refusals of servers count, whoever saw them. */
  @Test
  void onlyAnswersOf500AreCountedOn() {
    SimWorld world = accepted(32, 2, 1);
    world.gateways.get(0).servers.last().end(Ended.BROKEN);
    world.timers.advance(500);
    world.gateways.get(0).servers.last().end(Ended.NOT_RUN);
    world.timers.advance(500);
    kill(world.gateways.get(0));
    world.timers.advance(6_000);
    SimWorld.Gateway next = runner(world);
    next.servers.last().end(Ended.FAILED);
    world.timers.advance(500);
    assertThat(world.read(1, "a", 0), containsString(NONE));
    next.servers.last().end(Ended.FAILED);
    world.timers.advance(500);
    assertThat(world.read(1, "a", 0), containsString(GIVEN_UP));
  }

  /** LOST: a job whose body nobody can give is not stuck for ever. */
  @Test
  void withoutItsBodyAnItemIsGivenUpBehindItsShelfLife() {
    SimWorld world = new SimWorld(33, 2, 1_000);
    world.gateways.get(0).servers.room = 0;
    assertThat(world.status(world.hand(0, "a", 2, 10)), is(202));
    world.stores.forEach(store -> store.cells.get("lot/a").blobs.clear());
    kill(world.gateways.get(0));
    world.timers.advance(58_000);
    assertThat(world.read(1, "a", 0), containsString(NONE));
    world.timers.advance(6_000);
    assertThat(world.read(1, "a", 0), containsString("\"next_token\":2"));
  }

  /** LOST: an item whose runs all break is tried again and again, and then given up. */
  @Test
  void anItemWhoseRunsAllBreakIsGivenUpBehindItsShelfLife() {
    SimWorld world = accepted(34, 1, 1);
    SimServers servers = world.gateways.get(0).servers;
    for (int i = 0; i < 120; i++) {
      servers.last().end(Ended.BROKEN);
      world.timers.advance(500);
    }
    assertThat(servers.runs.size(), greaterThan(50));
    world.timers.advance(2_000);
    servers.last().end(Ended.BROKEN);
    world.timers.advance(1_000);
    assertThat(world.read(0, "a", 0), containsString(GIVEN_UP));
  }

  /** LOST: what was taken is taken, whatever the routes have become. */
  @Test
  void aJobThatComesAgainIsTakenThoughTheRoutesOfItsItemsAreGone() {
    SimWorld world = accepted(35, 2, 1);
    Route route = world.route();
    world.gateways.get(1).config = new SimConfig(2, List.of());
    byte[] same = SimWorld.job("a", 1, 10);
    byte[] other = SimWorld.job("b", 1, 10);
    BatchCalls second = world.gateways.get(1).calls;
    assertThat(world.status(second.submit(route, "a", same, 3_000)), is(202));
    assertThat(world.status(second.submit(route, "b", other, 3_000)), is(400));
    world.stores.get(0).up = false;
    world.stores.get(1).up = false;
    assertThat(world.status(second.submit(route, "b", other, 3_000)), is(503));
  }

  /** LOST: a job that comes again is turned away neither when full, nor done, nor ended. */
  @Test
  void aJobThatComesAgainIsTakenInAnyState() {
    SimWorld world = new SimWorld(36, 2, 100);
    assertThat(world.status(world.hand(0, "a", 10, 10)), is(202));
    assertThat("full", world.status(world.hand(1, "b", 1, 10)), is(429));
    assertThat("while it is full", world.status(world.hand(1, "a", 10, 10)), is(202));
    world.timers.advance(100);
    List.copyOf(world.gateways.get(0).servers.runs).forEach(SimServers.Run::serve);
    world.timers.advance(500);
    assertThat(world.read(1, "a", 9), containsString("\"next_token\":10"));
    assertThat("when it is done", world.status(world.hand(1, "a", 10, 10)), is(202));
    assertThat(world.status(world.gateways.get(1).calls.end("a")), is(200));
    assertThat("again", world.status(world.gateways.get(0).calls.end("a")), is(200));
    assertThat("when it is ended", world.status(world.hand(0, "a", 10, 10)), is(202));
    int runs =
        world.gateways.get(0).servers.runs.size() + world.gateways.get(1).servers.runs.size();
    assertThat("each item ran once", runs, is(10));
  }
}
