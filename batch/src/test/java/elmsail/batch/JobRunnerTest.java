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
  private static final String NO_RESULTS = "\"next_token\":0,\"deliveries\":[]";

  private static SimBatchCluster clusterWithAcceptedJob(long seed, int gateways, int items) {
    SimBatchCluster cluster = new SimBatchCluster(seed, gateways, 1_000);
    assertThat(cluster.status(cluster.submit(0, "a", items, 10)), is(202));
    cluster.timers.advance(30);
    return cluster;
  }

  @Test
  void aCompletedRunIsReadableAtEveryGateway() {
    SimBatchCluster cluster = clusterWithAcceptedJob(1, 2, 1);
    cluster.gateways.get(0).servers.lastRun().complete();
    cluster.timers.advance(100);
    assertThat(
        cluster.read(0, "a", 0),
        is(
            "200 {\"total\":1,\"next_token\":1,\"deliveries\":[{\"id\":\"a-0\","
                + "\"state\":\"delivered\",\"message\":\"a-0/0\\u000aa-0/1\"}]}"));
    assertThat(cluster.read(1, "a", 0), is(cluster.read(0, "a", 0)));
    assertThat(cluster.read(1, "a", 1), is("200 {\"total\":1,\"next_token\":1,\"deliveries\":[]}"));
  }

  @Test
  void aBrokenRunResumesAfterTheLastEvent() {
    SimBatchCluster cluster = clusterWithAcceptedJob(2, 1, 1);
    cluster.gateways.get(0).servers.lastRun().event(0, "one");
    cluster.gateways.get(0).servers.lastRun().end(RunOutcome.OUTCOME_UNKNOWN);
    cluster.timers.advance(400);
    assertThat(cluster.gateways.get(0).servers.lastRun().lastEventId, is(0L));
    cluster.gateways.get(0).servers.lastRun().event(1, "two");
    cluster.gateways.get(0).servers.lastRun().end(RunOutcome.COMPLETED);
    cluster.timers.advance(100);
    assertThat(cluster.read(0, "a", 0), containsString("\"message\":\"one\\u000atwo\""));
  }

  @Test
  void aGapOrARepeatedEventCancelsTheRunAndDiscardsItsText() {
    for (long wrongEventId : new long[] {0, 2, 7}) {
      SimBatchCluster cluster = clusterWithAcceptedJob(3, 1, 1);
      SimServers servers = cluster.gateways.get(0).servers;
      servers.lastRun().event(0, "one");
      servers.lastRun().event(wrongEventId, "wrong");
      assertThat(servers.lastRun().cancelled, is(true));
      servers.lastRun().end(RunOutcome.COMPLETED);
      cluster.timers.advance(400);
      assertThat(servers.runs, hasSize(2));
      assertThat(servers.lastRun().lastEventId, is(-1L));
      servers.lastRun().complete();
      cluster.timers.advance(100);
      assertThat(cluster.read(0, "a", 0), containsString("\"message\":\"a-0/0\\u000aa-0/1\""));
    }
  }

  @Test
  void theTextIsDiscardedIfARunResumesAtAWrongEvent() {
    for (long wrongEventId : new long[] {0, 1, 3}) {
      SimBatchCluster cluster = clusterWithAcceptedJob(4, 1, 1);
      SimServers servers = cluster.gateways.get(0).servers;
      servers.lastRun().event(0, "one");
      servers.lastRun().event(1, "two");
      servers.lastRun().end(RunOutcome.OUTCOME_UNKNOWN);
      cluster.timers.advance(400);
      servers.lastRun().event(wrongEventId, "else");
      servers.lastRun().end(RunOutcome.COMPLETED);
      cluster.timers.advance(400);
      servers.lastRun().complete();
      cluster.timers.advance(100);
      assertThat(cluster.read(0, "a", 0), containsString("\"message\":\"a-0/0\\u000aa-0/1\""));
    }
  }

  @Test
  void anItemThatTheServerDidNotRunHasNoFailedAttempt() {
    SimBatchCluster cluster = clusterWithAcceptedJob(5, 1, 1);
    SimServers servers = cluster.gateways.get(0).servers;
    for (int i = 0; i < 10; i++) {
      servers.lastRun().end(RunOutcome.NOT_RUN);
      cluster.timers.advance(400);
    }
    assertThat(servers.runs, hasSize(11));
    assertThat(cluster.read(0, "a", 0), containsString(NO_RESULTS));
  }

  @Test
  void anItemFailsAfterTheLimitOfFailedAttempts() {
    SimBatchCluster cluster = clusterWithAcceptedJob(6, 1, 1);
    SimServers servers = cluster.gateways.get(0).servers;
    servers.lastRun().end(RunOutcome.FAILED);
    cluster.timers.advance(400);
    assertThat(cluster.read(0, "a", 0), containsString(NO_RESULTS));
    servers.lastRun().end(RunOutcome.OUTCOME_UNKNOWN);
    cluster.timers.advance(400);
    assertThat(cluster.read(0, "a", 0), containsString(NO_RESULTS));
    servers.lastRun().end(RunOutcome.FAILED);
    cluster.timers.advance(100);
    assertThat(
        cluster.read(0, "a", 0), containsString("\"state\":\"undeliverable\",\"message\":\"\""));
  }

  @Test
  void anItemRejectedByItsServerFailsAtOnce() {
    SimBatchCluster cluster = clusterWithAcceptedJob(7, 1, 1);
    cluster.gateways.get(0).servers.lastRun().end(RunOutcome.REJECTED);
    cluster.timers.advance(100);
    assertThat(cluster.read(0, "a", 0), containsString("\"state\":\"undeliverable\""));
  }

  @Test
  void anItemFailsAfterItsTimeToLiveAndNotBefore() {
    SimBatchCluster cluster = new SimBatchCluster(8, 1, 1_000);
    cluster.gateways.get(0).servers.capacity = 0;
    assertThat(cluster.status(cluster.submit(0, "a", 2, 10)), is(202));
    cluster.timers.advance(59_000);
    assertThat(cluster.read(0, "a", 0), containsString(NO_RESULTS));
    cluster.timers.advance(2_000);
    assertThat(cluster.read(0, "a", 0), containsString("\"next_token\":2"));
  }

  @Test
  void anItemWithoutARouteFailsOnlyUnderAConfigurationNewerThanItsJob() {
    SimBatchCluster cluster = new SimBatchCluster(9, 1, 1_000);
    SimServers servers = cluster.gateways.get(0).servers;
    servers.capacity = 0;
    assertThat(cluster.status(cluster.submit(0, "a", 1, 10)), is(202));
    cluster.gateways.get(0).config = new SimConfig(1, List.of());
    cluster.timers.advance(1_000);
    assertThat(cluster.read(0, "a", 0), containsString(NO_RESULTS));
    cluster.gateways.get(0).config = new SimConfig(2, List.of());
    cluster.timers.advance(1_000);
    assertThat(cluster.read(0, "a", 0), containsString("\"state\":\"undeliverable\""));
    assertThat(servers.runs, hasSize(0));
  }

  @Test
  void aWaitingReadCompletesAsSoonAsAResultIsRecorded() {
    SimBatchCluster cluster = clusterWithAcceptedJob(15, 1, 2);
    CompletableFuture<Reply> readWithResult =
        cluster.gateways.get(0).batchApi.readResults(TenantName.NONE, "a", 0, 1_000);
    cluster.timers.advance(300);
    assertThat(readWithResult.isDone(), is(false));
    cluster.gateways.get(0).servers.lastRun().complete();
    cluster.timers.advance(90);
    assertThat(readWithResult.isDone(), is(true));
    assertThat(
        new String(readWithResult.join().body(), StandardCharsets.UTF_8),
        containsString("\"next_token\":1"));
    CompletableFuture<Reply> readWithoutResult =
        cluster.gateways.get(0).batchApi.readResults(TenantName.NONE, "a", 1, 5_000);
    cluster.timers.advance(1_100);
    assertThat(
        new String(readWithoutResult.join().body(), StandardCharsets.UTF_8),
        containsString("\"next_token\":1"));
  }

  @Test
  void aReadWithoutAQuorumIsUnavailableNotNotFound() {
    SimBatchCluster cluster = clusterWithAcceptedJob(16, 2, 1);
    assertThat(cluster.read(1, "b", 0), startsWith("404"));
    cluster.stores.get(0).up = false;
    cluster.stores.get(1).up = false;
    assertThat(cluster.read(1, "a", 0), startsWith("503"));
    assertThat(cluster.read(1, "b", 0), startsWith("503"));
    assertThat(
        cluster.status(cluster.gateways.get(1).batchApi.readItemBody(TenantName.NONE, "b", "b-0")),
        is(503));
  }

  @Test
  void anItemBodyIsReadUnchangedAtEveryGateway() {
    SimBatchCluster cluster = clusterWithAcceptedJob(17, 2, 3);
    for (SimBatchCluster.Gateway gateway : cluster.gateways) {
      Reply reply = cluster.await(gateway.batchApi.readItemBody(TenantName.NONE, "a", "a-2"));
      assertThat(new String(reply.body(), StandardCharsets.UTF_8), is("body a2"));
      assertThat(
          cluster.status(gateway.batchApi.readItemBody(TenantName.NONE, "a", "b-2")), is(404));
    }
    assertThat(
        cluster.status(cluster.gateways.get(1).batchApi.readItemBody(TenantName.NONE, "b", "b-2")),
        is(404));
  }

  @Test
  void longResultsAreReadInPagesBelowTheMaxResponseSize() {
    SimBatchCluster cluster = clusterWithAcceptedJob(18, 1, 3);
    String longText = "\"".repeat(300_000);
    for (SimServers.Run run : List.copyOf(cluster.gateways.get(0).servers.runs)) {
      run.event(0, longText);
      run.end(RunOutcome.COMPLETED);
    }
    cluster.timers.advance(300);
    Reply reply =
        cluster.await(cluster.gateways.get(0).batchApi.readResults(TenantName.NONE, "a", 0, 0));
    assertThat(reply.body().length, lessThanOrEqualTo(1 << 20));
    assertThat(
        new String(reply.body(), StandardCharsets.UTF_8), not(containsString("\"next_token\":3")));
    assertThat(cluster.read(0, "a", 2), containsString("\"next_token\":3"));
  }
}
