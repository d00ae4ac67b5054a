package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import elmsail.batch.BatchService.Reply;
import elmsail.batch.ItemServers.RunOutcome;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class JobRunnerTest {
  private static final String NONE = "\"next_token\":0,\"deliveries\":[]";

  private static SimBatchCluster accepted(long seed, int gateways, int items) {
    SimBatchCluster world = new SimBatchCluster(seed, gateways, 1_000);
    assertThat(world.status(world.submit(0, "a", items, 10)), is(202));
    world.timers.advance(30);
    return world;
  }

  @Test
  void aCompletedRunIsReadableAtEveryGateway() {
    SimBatchCluster world = accepted(1, 2, 1);
    world.gateways.get(0).servers.lastRun().serve();
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
  void aBrokenRunResumesAfterTheLastEvent() {
    SimBatchCluster world = accepted(2, 1, 1);
    world.gateways.get(0).servers.lastRun().event(0, "one");
    world.gateways.get(0).servers.lastRun().end(RunOutcome.OUTCOME_UNKNOWN);
    world.timers.advance(400);
    assertThat(world.gateways.get(0).servers.lastRun().lastEventId, is(0L));
    world.gateways.get(0).servers.lastRun().event(1, "two");
    world.gateways.get(0).servers.lastRun().end(RunOutcome.COMPLETED);
    world.timers.advance(100);
    assertThat(world.read(0, "a", 0), containsString("\"message\":\"one\\u000atwo\""));
  }

  @Test
  void aGapOrARepeatedEventCancelsTheRunAndDiscardsItsText() {
    for (long wrong : new long[] {0, 2, 7}) {
      SimBatchCluster world = accepted(3, 1, 1);
      SimServers servers = world.gateways.get(0).servers;
      servers.lastRun().event(0, "one");
      servers.lastRun().event(wrong, "wrong");
      assertThat(servers.lastRun().cancelled, is(true));
      servers.lastRun().end(RunOutcome.COMPLETED);
      world.timers.advance(400);
      assertThat(servers.runs, hasSize(2));
      assertThat(servers.lastRun().lastEventId, is(-1L));
      servers.lastRun().serve();
      world.timers.advance(100);
      assertThat(world.read(0, "a", 0), containsString("\"message\":\"a-0/0\\u000aa-0/1\""));
    }
  }

  @Test
  void aRunThatResumesAtTheWrongEventIsNotJoined() {
    for (long wrong : new long[] {0, 1, 3}) {
      SimBatchCluster world = accepted(4, 1, 1);
      SimServers servers = world.gateways.get(0).servers;
      servers.lastRun().event(0, "one");
      servers.lastRun().event(1, "two");
      servers.lastRun().end(RunOutcome.OUTCOME_UNKNOWN);
      world.timers.advance(400);
      servers.lastRun().event(wrong, "else");
      servers.lastRun().end(RunOutcome.COMPLETED);
      world.timers.advance(400);
      servers.lastRun().serve();
      world.timers.advance(100);
      assertThat(world.read(0, "a", 0), containsString("\"message\":\"a-0/0\\u000aa-0/1\""));
    }
  }

  @Test
  void aRunThatNeverStartedIsNoFailedAttempt() {
    SimBatchCluster world = accepted(5, 1, 1);
    SimServers servers = world.gateways.get(0).servers;
    for (int i = 0; i < 10; i++) {
      servers.lastRun().end(RunOutcome.NOT_RUN);
      world.timers.advance(400);
    }
    assertThat(servers.runs, hasSize(11));
    assertThat(world.read(0, "a", 0), containsString(NONE));
  }

  @Test
  void anItemFailsAfterTheLimitOfFailedAttempts() {
    SimBatchCluster world = accepted(6, 1, 1);
    SimServers servers = world.gateways.get(0).servers;
    servers.lastRun().end(RunOutcome.FAILED);
    world.timers.advance(400);
    assertThat(world.read(0, "a", 0), containsString(NONE));
    servers.lastRun().end(RunOutcome.OUTCOME_UNKNOWN);
    world.timers.advance(400);
    assertThat(world.read(0, "a", 0), containsString(NONE));
    servers.lastRun().end(RunOutcome.FAILED);
    world.timers.advance(100);
    assertThat(
        world.read(0, "a", 0), containsString("\"state\":\"undeliverable\",\"message\":\"\""));
  }

  @Test
  void anItemRejectedByItsServerFailsAtOnce() {
    SimBatchCluster world = accepted(7, 1, 1);
    world.gateways.get(0).servers.lastRun().end(RunOutcome.REJECTED);
    world.timers.advance(100);
    assertThat(world.read(0, "a", 0), containsString("\"state\":\"undeliverable\""));
  }

  @Test
  void anItemFailsAfterItsShelfLifeAndNotBefore() {
    SimBatchCluster world = new SimBatchCluster(8, 1, 1_000);
    world.gateways.get(0).servers.capacity = 0;
    assertThat(world.status(world.submit(0, "a", 2, 10)), is(202));
    world.timers.advance(59_000);
    assertThat(world.read(0, "a", 0), containsString(NONE));
    world.timers.advance(2_000);
    assertThat(world.read(0, "a", 0), containsString("\"next_token\":2"));
  }

  @Test
  void anItemWithoutARouteFailsButNotByAnOlderConfiguration() {
    SimBatchCluster world = new SimBatchCluster(9, 1, 1_000);
    SimServers servers = world.gateways.get(0).servers;
    servers.capacity = 0;
    assertThat(world.status(world.submit(0, "a", 1, 10)), is(202));
    world.gateways.get(0).config = new SimConfig(1, List.of());
    world.timers.advance(1_000);
    assertThat(world.read(0, "a", 0), containsString(NONE));
    world.gateways.get(0).config = new SimConfig(2, List.of());
    world.timers.advance(1_000);
    assertThat(world.read(0, "a", 0), containsString("\"state\":\"undeliverable\""));
    assertThat(servers.runs, hasSize(0));
  }

  @Test
  void aWaitingReadIsAnsweredAsSoonAsAResultIsRecorded() {
    SimBatchCluster world = accepted(15, 1, 2);
    CompletableFuture<Reply> held = world.gateways.get(0).batchApi.readResults("a", 0, 1_000);
    world.timers.advance(300);
    assertThat(held.isDone(), is(false));
    world.gateways.get(0).servers.lastRun().serve();
    world.timers.advance(90);
    assertThat(held.isDone(), is(true));
    assertThat(
        new String(held.join().body(), StandardCharsets.UTF_8), containsString("\"next_token\":1"));
    CompletableFuture<Reply> empty = world.gateways.get(0).batchApi.readResults("a", 1, 5_000);
    world.timers.advance(1_100);
    assertThat(
        new String(empty.join().body(), StandardCharsets.UTF_8),
        containsString("\"next_token\":1"));
  }

  @Test
  void withoutAQuorumAReadIsUnavailableNotNotFound() {
    SimBatchCluster world = accepted(16, 2, 1);
    assertThat(world.read(1, "b", 0), startsWith("404"));
    world.stores.get(0).up = false;
    world.stores.get(1).up = false;
    assertThat(world.read(1, "a", 0), startsWith("503"));
    assertThat(world.read(1, "b", 0), startsWith("503"));
    assertThat(world.status(world.gateways.get(1).batchApi.readItemBody("b", "b-0")), is(503));
  }

  @Test
  void anItemBodyIsReadUnchangedAtEveryGateway() {
    SimBatchCluster world = accepted(17, 2, 3);
    for (SimBatchCluster.Gateway gateway : world.gateways) {
      Reply reply = world.await(gateway.batchApi.readItemBody("a", "a-2"));
      assertThat(new String(reply.body(), StandardCharsets.UTF_8), is("body a2"));
      assertThat(world.status(gateway.batchApi.readItemBody("a", "b-2")), is(404));
    }
    assertThat(world.status(world.gateways.get(1).batchApi.readItemBody("b", "b-2")), is(404));
  }

  @Test
  void aLongJobIsReadInPagesBelowTheLargestResponse() {
    SimBatchCluster world = accepted(18, 1, 3);
    String big = "\"".repeat(300_000);
    for (SimServers.Run run : List.copyOf(world.gateways.get(0).servers.runs)) {
      run.event(0, big);
      run.end(RunOutcome.COMPLETED);
    }
    world.timers.advance(300);
    Reply reply = world.await(world.gateways.get(0).batchApi.readResults("a", 0, 0));
    assertThat(reply.body().length, lessThanOrEqualTo(1 << 20));
    assertThat(
        new String(reply.body(), StandardCharsets.UTF_8), not(containsString("\"next_token\":3")));
    assertThat(world.read(0, "a", 2), containsString("\"next_token\":3"));
  }
}
