package elmsail.batch;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import elmsail.batch.BatchService.Reply;
import elmsail.batch.messages.JobRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class SubmitHandlerTest {

  private static int runsOf(SimBatchCluster cluster, String job) {
    int runs = 0;
    for (SimBatchCluster.Gateway gateway : cluster.gateways) {
      for (SimServers.Run run : gateway.servers.runs) {
        runs += run.item.id().startsWith(job + "-") ? 1 : 0;
      }
    }
    return runs;
  }

  @Test
  void jobSubmittedToTwoGatewaysAtOnceRunsOnce() {
    for (int seed = 0; seed < 40; seed++) {
      SimBatchCluster cluster = new SimBatchCluster(seed, 2, 100);
      cluster.gateways.forEach(gateway -> gateway.servers.serviceTimeMs = 30);
      CompletableFuture<Reply> first = cluster.submit(0, "a", 3, 20);
      CompletableFuture<Reply> second = cluster.submit(1, "a", 3, 20);
      assertThat(cluster.status(first), is(202));
      assertThat(cluster.status(second), is(202));
      cluster.timers.advance(500);
      assertThat("runs with seed " + seed, runsOf(cluster, "a"), is(3));
      assertThat(cluster.read(1, "a", 0), containsString("\"total\":3,\"next_token\":3"));
    }
  }

  @Test
  void resubmittedJobIsAcceptedAndCountedOnce() {
    SimBatchCluster cluster = new SimBatchCluster(1, 3, 100);
    assertThat(cluster.status(cluster.submit(0, "a", 6, 10)), is(202));
    assertThat(cluster.status(cluster.submit(1, "a", 6, 10)), is(202));
    assertThat(cluster.status(cluster.submit(2, "a", 6, 10)), is(202));
    assertThat(cluster.status(cluster.submit(1, "b", 4, 10)), is(202));
    assertThat(cluster.status(cluster.submit(2, "c", 1, 1)), is(429));
  }

  @Test
  void aJobBeyondTheLimitIsRejectedAndNeverRuns() {
    SimBatchCluster cluster = new SimBatchCluster(2, 2, 100);
    cluster.gateways.forEach(gateway -> gateway.servers.serviceTimeMs = 400);
    assertThat(cluster.status(cluster.submit(0, "a", 8, 10)), is(202));
    Reply rejected = cluster.await(cluster.submit(1, "b", 3, 10));
    assertThat(rejected.status(), is(429));
    assertThat(rejected.retryAfterS(), greaterThan(0.0));
    cluster.timers.advance(20_000);
    assertThat(runsOf(cluster, "b"), is(0));
    assertThat(cluster.read(0, "b", 0), containsString("404"));
  }

  @Test
  void withoutALimitEveryJobIsAccepted() {
    SimBatchCluster cluster = new SimBatchCluster(3, 2, 0);
    assertThat(cluster.status(cluster.submit(0, "a", 8, 1_000_000)), is(202));
    assertThat(cluster.status(cluster.submit(1, "b", 8, 1_000_000)), is(202));
  }

  @Test
  void waitingTokensDecreaseWhenResultsAreRecorded() {
    SimBatchCluster cluster = new SimBatchCluster(4, 2, 100);
    assertThat(cluster.status(cluster.submit(0, "a", 10, 10)), is(202));
    assertThat(cluster.status(cluster.submit(1, "b", 5, 10)), is(429));
    cluster.timers.advance(50);
    for (int i = 0; i < 5; i++) {
      cluster.gateways.get(0).servers.runs.get(i).complete();
    }
    cluster.timers.advance(200);
    assertThat(cluster.status(cluster.submit(1, "b", 5, 10)), is(202));
    assertThat(cluster.status(cluster.submit(1, "c", 1, 1)), is(429));
  }

  @Test
  void waitingTokensDecreaseWhenAJobIsCancelled() {
    SimBatchCluster cluster = new SimBatchCluster(5, 2, 100);
    assertThat(cluster.status(cluster.submit(0, "a", 10, 10)), is(202));
    assertThat(cluster.status(cluster.submit(1, "b", 5, 10)), is(429));
    assertThat(
        cluster.status(cluster.gateways.get(1).batchApi.cancel(TenantName.NONE, "a")), is(200));
    assertThat(cluster.status(cluster.submit(1, "b", 10, 10)), is(202));
  }

  @Test
  void concurrentJobsCountedAtDifferentMajoritiesDoNotExceedTheLimit() {
    int rejected = 0;
    for (int seed = 0; seed < 200; seed++) {
      SimBatchCluster cluster = new SimBatchCluster(seed, 3, 100);
      for (int i = 0; i < 3; i++) {
        String gateway = cluster.gateways.get(i).address;
        cluster.linkDelays.put(gateway + ">" + cluster.stores.get(i).address, 2L);
        cluster.linkDelays.put(gateway + ">" + cluster.stores.get((i + 1) % 3).address, 4L);
        cluster.linkDelays.put(gateway + ">" + cluster.stores.get((i + 2) % 3).address, 60L);
      }
      List<CompletableFuture<Reply>> replies = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        replies.add(cluster.submit(i, "lot" + i, 4, 10));
      }
      int accepted = 0;
      for (CompletableFuture<Reply> reply : replies) {
        accepted += cluster.status(reply) == 202 ? 1 : 0;
      }
      rejected += 3 - accepted;
      assertThat(
          "accepted of three jobs of 40 tokens at a limit of 100, seed " + seed,
          accepted,
          lessThanOrEqualTo(2));
    }
    assertThat(rejected, greaterThanOrEqualTo(200));
  }

  @Test
  void concurrentJobsStayWithinTheLimitPlusTenPercent() {
    for (int seed = 0; seed < 60; seed++) {
      SimBatchCluster cluster = new SimBatchCluster(seed, 6, 1_000);
      List<CompletableFuture<Reply>> replies = new ArrayList<>();
      List<Long> tokens = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        long jobTokens = 5L + cluster.random.nextInt(60);
        tokens.add(jobTokens);
        replies.add(cluster.submit(i % 6, "lot" + i, 1, jobTokens));
        cluster.timers.advance(cluster.random.nextInt(6));
      }
      long waiting = 0;
      for (int i = 0; i < 40; i++) {
        waiting += cluster.status(replies.get(i)) == 202 ? tokens.get(i) : 0;
      }
      assertThat("seed " + seed, waiting, lessThanOrEqualTo(1_100L));
      assertThat("seed " + seed, waiting, greaterThan(600L));
    }
  }

  @Test
  void aRestartedStoreCountsTheJobsOnItsDisk() {
    SimBatchCluster cluster = new SimBatchCluster(6, 2, 100);
    assertThat(cluster.status(cluster.submit(0, "a", 8, 10)), is(202));
    cluster.stores.get(0).restart();
    cluster.stores.get(1).up = false;
    assertThat(cluster.status(cluster.submit(1, "b", 3, 10)), is(429));
  }

  @Test
  void withoutAQuorumAJobIsRejectedAndNeverRuns() {
    SimBatchCluster cluster = new SimBatchCluster(7, 2, 100);
    cluster.stores.get(0).up = false;
    cluster.stores.get(1).up = false;
    Reply rejected = cluster.await(cluster.submit(0, "a", 3, 10));
    assertThat(rejected.status(), is(503));
    assertThat(rejected.retryAfterS(), greaterThan(0.0));
    cluster.stores.get(0).up = true;
    cluster.stores.get(1).up = true;
    cluster.timers.advance(20_000);
    assertThat(runsOf(cluster, "a"), is(0));
    assertThat(cluster.read(1, "a", 0), containsString("404"));
  }

  @Test
  void aJobThatMayHaveBeenCommittedIsNeverRejected() {
    int unknownOutcomes = 0;
    for (int seed = 0; seed < 300; seed++) {
      SimBatchCluster cluster = new SimBatchCluster(seed, 2, seed % 2 == 0 ? 0 : 100);
      CompletableFuture<Reply> reply = cluster.submit(0, "a", 3, 10);
      cluster.timers.advance(2 + seed % 25);
      String gateway = cluster.gateways.get(0).address;
      cluster.stores.forEach(store -> cluster.cutLinks.add(store.address + ">" + gateway));
      int status = cluster.status(reply);
      cluster.cutLinks.clear();
      cluster.timers.advance(8_000);
      boolean ran = runsOf(cluster, "a") > 0;
      unknownOutcomes += status == 504 ? 1 : 0;
      if (status == 503 || status == 429) {
        assertThat("seed " + seed + " answered " + status, ran, is(false));
      } else if (status == 202) {
        assertThat("seed " + seed, ran, is(true));
      }
    }
    assertThat(unknownOutcomes, greaterThan(10));
  }

  @Test
  void aJobRejectedByEveryGatewayNeverRuns() {
    for (int seed = 0; seed < 60; seed++) {
      SimBatchCluster cluster = new SimBatchCluster(seed, 3, 100);
      assertThat(cluster.status(cluster.submit(0, "a", 9, 10)), is(202));
      List<CompletableFuture<Reply>> replies = new ArrayList<>();
      for (int gateway = 0; gateway < 3; gateway++) {
        replies.add(cluster.submit(gateway, "b", 2, 10));
      }
      List<Integer> statuses = new ArrayList<>();
      replies.forEach(reply -> statuses.add(cluster.status(reply)));
      assertThat(statuses, everyItem(is(429)));
      cluster.timers.advance(10_000);
      assertThat(runsOf(cluster, "b"), is(0));
    }
  }

  @Test
  void blobsReachAQuorumBeforeTheirRecordIsAccepted() {
    for (int seed = 0; seed < 120; seed++) {
      SimBatchCluster cluster = new SimBatchCluster(seed, 2, seed % 2 == 0 ? 0 : 100);
      cluster.gateways.get(0).servers.serviceTimeMs = 5;
      cluster.submit(0, "a", 3, 10);
      for (int ms = 0; ms < 200; ms++) {
        cluster.timers.advance(1);
        for (SimJobStore store : cluster.stores) {
          SimJobStore.StoredKey storedKey = store.keys.get("lot/a");
          if (storedKey != null && storedKey.value != null) {
            JobRecord record = JobRecord.decode(storedKey.value);
            assertThat(
                "seed " + seed,
                cluster.storesWithBlob("lot/a", record.bodyBlobName()),
                greaterThanOrEqualTo(2));
            for (JobRecord.Result result : record.results()) {
              assertThat(
                  "seed " + seed,
                  cluster.storesWithBlob("lot/a", result.textBlobName()),
                  greaterThanOrEqualTo(2));
            }
          }
        }
      }
      assertThat(cluster.read(1, "a", 0), containsString("\"next_token\":3"));
    }
  }

  @Test
  void partitionedGatewayRejectsJobsAsUnavailable() {
    SimBatchCluster cluster = new SimBatchCluster(8, 2, 100);
    cluster.stores.forEach(
        store -> cluster.setLinkCut(cluster.gateways.get(0).address, store.address, true));
    assertThat(cluster.status(cluster.submit(0, "a", 1, 1)), is(503));
    assertThat(cluster.status(cluster.submit(1, "a", 1, 1)), is(202));
  }

  @Test
  void malformedJobsAreRejectedAsBadRequests() {
    SimBatchCluster cluster = new SimBatchCluster(9, 1, 100);
    BatchService calls = cluster.gateways.get(0).batchApi;
    assertThat(
        cluster.status(
            calls.submit(TenantName.NONE, cluster.route(), "a", "{".getBytes(UTF_8), 1_000)),
        is(400));
    byte[] withoutRoute =
        new String(JobJson.job("a", 1, 1), UTF_8).replace("/lots1/", "/other/").getBytes(UTF_8);
    assertThat(
        cluster.status(calls.submit(TenantName.NONE, cluster.route(), "a", withoutRoute, 1_000)),
        is(400));
    assertThat(
        cluster.status(
            calls.submit(TenantName.NONE, cluster.route(), "a", JobJson.job("a", 201, 1), 1_000)),
        is(400));
    assertThat(
        cluster.status(
            calls.submit(TenantName.NONE, cluster.route(), "a/b", JobJson.job("a", 1, 1), 1_000)),
        is(400));
    assertThat(cluster.gateways.get(0).servers.runs, is(empty()));
  }

  @Test
  void newestConfigurationDeterminesTheLimit() {
    SimBatchCluster cluster = new SimBatchCluster(10, 2, 100);
    cluster.gateways.get(1).config = new SimConfig(2, List.of(SimBatchCluster.route(200)));
    assertThat(cluster.status(cluster.submit(0, "a", 10, 10)), is(202));
    assertThat(cluster.status(cluster.submit(0, "b", 1, 10)), is(429));
    assertThat(cluster.status(cluster.submit(1, "b", 1, 10)), is(202));
  }
}
