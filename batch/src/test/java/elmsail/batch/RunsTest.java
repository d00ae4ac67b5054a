package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import elmsail.batch.BatchCalls.Reply;
import elmsail.batch.ItemServers.Ended;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class RunsTest {
  private static final String NONE = "\"next_token\":0,\"deliveries\":[]";

  private static SimWorld accepted(long seed, int gateways, int batchItems) {
    SimWorld world = new SimWorld(seed, gateways, 1_000);
    assertThat(world.status(world.hand(0, "a", batchItems, 10)), is(202));
    world.timers.advance(30);
    return world;
  }

  @Test
  void aWholeRunIsListedWithItsTextAtEveryGateway() {
    SimWorld world = accepted(1, 2, 1);
    world.gateways.get(0).servers.last().serve();
    world.timers.advance(100);
    assertThat(
        world.read(0, "a", 0),
        is(
            "200 {\"total\":1,\"next_token\":1,\"deliveries\":[{\"id\":\"a-0\","
                + "\"state\":\"delivered\",\"message\":\"a-0/0\\u000aa-0/1\"}]}"));
    assertThat(world.read(1, "a", 0), is(world.read(0, "a", 0)));
    assertThat(world.read(1, "a", 1), is("200 {\"total\":1,\"next_token\":1,\"deliveries\":[]}"));
  }

  @Test
  void aCutRunGoesOnBehindTheLastEvent() {
    SimWorld world = accepted(2, 1, 1);
    world.gateways.get(0).servers.last().event(0, "one");
    world.gateways.get(0).servers.last().end(Ended.BROKEN);
    world.timers.advance(400);
    assertThat(world.gateways.get(0).servers.last().last, is(0L));
    world.gateways.get(0).servers.last().event(1, "two");
    world.gateways.get(0).servers.last().end(Ended.WHOLE);
    world.timers.advance(100);
    assertThat(world.read(0, "a", 0), containsString("\"message\":\"one\\u000atwo\""));
  }

  @Test
  void aGapOrARepeatSpoilsTheRunAndNothingOfItIsKept() {
    for (long wrong : new long[] {0, 2, 7}) {
      SimWorld world = accepted(3, 1, 1);
      SimServers servers = world.gateways.get(0).servers;
      servers.last().event(0, "one");
      servers.last().event(wrong, "wrong");
      assertThat(servers.last().cancelled, is(true));
      servers.last().end(Ended.WHOLE);
      world.timers.advance(400);
      assertThat(servers.runs, hasSize(2));
      assertThat(servers.last().last, is(-1L));
      servers.last().serve();
      world.timers.advance(100);
      assertThat(world.read(0, "a", 0), containsString("\"message\":\"a-0/0\\u000aa-0/1\""));
    }
  }

  @Test
  void aRunThatGoesOnAtTheWrongPlaceIsNotJoined() {
    for (long wrong : new long[] {0, 1, 3}) {
      SimWorld world = accepted(4, 1, 1);
      SimServers servers = world.gateways.get(0).servers;
      servers.last().event(0, "one");
      servers.last().event(1, "two");
      servers.last().end(Ended.BROKEN);
      world.timers.advance(400);
      servers.last().event(wrong, "else");
      servers.last().end(Ended.WHOLE);
      world.timers.advance(400);
      servers.last().serve();
      world.timers.advance(100);
      assertThat(world.read(0, "a", 0), containsString("\"message\":\"a-0/0\\u000aa-0/1\""));
    }
  }

  @Test
  void aServerThatDidNotRunItCostsNoAttempt() {
    SimWorld world = accepted(5, 1, 1);
    SimServers servers = world.gateways.get(0).servers;
    for (int i = 0; i < 10; i++) {
      servers.last().end(Ended.NOT_RUN);
      world.timers.advance(400);
    }
    assertThat(servers.runs, hasSize(11));
    assertThat(world.read(0, "a", 0), containsString(NONE));
  }

  @Test
  void onlySoManyFailuresMakeAnItemUndeliverable() {
    SimWorld world = accepted(6, 1, 1);
    SimServers servers = world.gateways.get(0).servers;
    servers.last().end(Ended.FAILED);
    world.timers.advance(400);
    assertThat(world.read(0, "a", 0), containsString(NONE));
    servers.last().end(Ended.BROKEN);
    world.timers.advance(400);
    assertThat(world.read(0, "a", 0), containsString(NONE));
    servers.last().end(Ended.FAILED);
    world.timers.advance(100);
    assertThat(
        world.read(0, "a", 0), containsString("\"state\":\"undeliverable\",\"message\":\"\""));
  }

  @Test
  void whatCanNeverBeDoneIsUndeliverableAtOnce() {
    SimWorld world = accepted(7, 1, 1);
    world.gateways.get(0).servers.last().end(Ended.NEVER);
    world.timers.advance(100);
    assertThat(world.read(0, "a", 0), containsString("\"state\":\"undeliverable\""));
  }

  @Test
  void anItemIsGivenUpBehindItsShelfLifeAndNotBefore() {
    SimWorld world = new SimWorld(8, 1, 1_000);
    world.gateways.get(0).servers.room = 0;
    assertThat(world.status(world.hand(0, "a", 2, 10)), is(202));
    world.timers.advance(59_000);
    assertThat(world.read(0, "a", 0), containsString(NONE));
    world.timers.advance(2_000);
    assertThat(world.read(0, "a", 0), containsString("\"next_token\":2"));
  }

  @Test
  void withoutItsRouteAnItemIsUndeliverableButNotByAnOlderConfiguration() {
    SimWorld world = new SimWorld(9, 1, 1_000);
    SimServers servers = world.gateways.get(0).servers;
    servers.room = 0;
    assertThat(world.status(world.hand(0, "a", 1, 10)), is(202));
    world.gateways.get(0).config = new SimConfig(1, List.of());
    world.timers.advance(1_000);
    assertThat(world.read(0, "a", 0), containsString(NONE));
    world.gateways.get(0).config = new SimConfig(2, List.of());
    world.timers.advance(1_000);
    assertThat(world.read(0, "a", 0), containsString("\"state\":\"undeliverable\""));
    assertThat(servers.runs, hasSize(0));
  }

  @Test
  void aHeldReadIsAnsweredAsSoonAsSomethingIsListed() {
    SimWorld world = accepted(15, 1, 2);
    CompletableFuture<Reply> held = world.gateways.get(0).calls.read("a", 0, 1_000);
    world.timers.advance(300);
    assertThat(held.isDone(), is(false));
    world.gateways.get(0).servers.last().serve();
    world.timers.advance(90);
    assertThat(held.isDone(), is(true));
    assertThat(
        new String(held.join().body(), StandardCharsets.UTF_8), containsString("\"next_token\":1"));
    CompletableFuture<Reply> empty = world.gateways.get(0).calls.read("a", 1, 5_000);
    world.timers.advance(1_100);
    assertThat(
        new String(empty.join().body(), StandardCharsets.UTF_8),
        containsString("\"next_token\":1"));
  }

  @Test
  void withoutAMajorityAReadIsUnsureAndOnlyASureGatewaySaysThereIsNone() {
    SimWorld world = accepted(16, 2, 1);
    assertThat(world.read(1, "b", 0), startsWith("404"));
    world.stores.get(0).up = false;
    world.stores.get(1).up = false;
    assertThat(world.read(1, "a", 0), startsWith("503"));
    assertThat(world.read(1, "b", 0), startsWith("503"));
    assertThat(world.status(world.gateways.get(1).calls.item("b", "b-0")), is(503));
  }

  @Test
  void aBodyIsGivenByteForByteAtEveryGateway() {
    SimWorld world = accepted(17, 2, 3);
    for (SimWorld.Gateway gateway : world.gateways) {
      Reply reply = world.await(gateway.calls.item("a", "a-2"));
      assertThat(new String(reply.body(), StandardCharsets.UTF_8), is("body a2"));
      assertThat(world.status(gateway.calls.item("a", "b-2")), is(404));
    }
    assertThat(world.status(world.gateways.get(1).calls.item("b", "b-2")), is(404));
  }

  @Test
  void aLongJobIsReadInPartsBelowTheLargestAnswer() {
    SimWorld world = accepted(18, 1, 3);
    String big = "\"".repeat(300_000);
    for (SimServers.Run run : List.copyOf(world.gateways.get(0).servers.runs)) {
      run.event(0, big);
      run.end(Ended.WHOLE);
    }
    world.timers.advance(300);
    Reply reply = world.await(world.gateways.get(0).calls.read("a", 0, 0));
    assertThat(reply.body().length, lessThanOrEqualTo(1 << 20));
    assertThat(
        new String(reply.body(), StandardCharsets.UTF_8), not(containsString("\"next_token\":3")));
    assertThat(world.read(0, "a", 2), containsString("\"next_token\":3"));
  }
}
