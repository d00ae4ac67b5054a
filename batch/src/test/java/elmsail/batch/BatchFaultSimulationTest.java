package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import elmsail.batch.api.BatchApi;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Checks the invariants of the batch protocol on real replicas under random faults: gateways and
 * stores crash or are partitioned, stores lose their disks, and disk writes stall.
 */
class BatchFaultSimulationTest {
  private static final long MAX_WAITING_TOKENS = 100;
  private static final long TOKENS_PER_ITEM = 10;
  private static final int ITEMS_PER_JOB = 5;
  private static final List<TenantName> TWO_TENANTS =
      List.of(new TenantName("argus"), new TenantName("bora"));

  /**
   * The number of seeds for the test with two tenants, which submits twice as many jobs per run.
   */
  private static final int TENANT_SEEDS = Integer.getInteger("batch.tenantSeeds", 6);

  /** The replies that clients have received for one job. */
  private static final class ObservedJob {
    final List<Integer> statuses = new ArrayList<>();
    boolean accepted;
    boolean cancelRequested;
    long cancelledAt = -1;
    String results = "";
  }

  /** One simulation of clients and faults with one seed. */
  private static final class FaultRun {
    final ReplicatedBatchCluster cluster;
    final Map<String, ObservedJob> jobs = new LinkedHashMap<>();
    final List<Throwable> violations = new ArrayList<>();
    final List<TenantName> tenants;
    int nextJobNumber;

    /** Creates the cluster; the jobs are assigned to these tenants in turn. */
    FaultRun(long seed, List<TenantName> tenants) {
      cluster = new ReplicatedBatchCluster(seed, 3, MAX_WAITING_TOKENS);
      this.tenants = tenants;
      if (tenants.size() > 1) {
        cluster.config = cluster.config.withKeysRequired();
      }
    }

    TenantName tenantOf(String id) {
      return tenants.get(Integer.parseInt(id.substring("lot".length())) % tenants.size());
    }

    ReplicatedBatchCluster.Gateway randomGatewayIfUp() {
      ReplicatedBatchCluster.Gateway gateway = cluster.gateways.get(cluster.random.nextInt(3));
      return gateway.up ? gateway : null;
    }

    void submit(String id) {
      ReplicatedBatchCluster.Gateway gateway = randomGatewayIfUp();
      if (gateway == null) {
        return;
      }
      ObservedJob observed = jobs.computeIfAbsent(id, job -> new ObservedJob());
      int attempt = observed.statuses.size();
      observed.statuses.add(0);
      checkReply(
          cluster.submit(tenantOf(id), gateway, id, ITEMS_PER_JOB, TOKENS_PER_ITEM),
          reply -> {
            observed.statuses.set(attempt, reply.status());
            if (reply.status() == 202) {
              observed.accepted = true;
              tenants.forEach(this::checkQuota);
            }
          });
    }

    /**
     * Runs the check on the reply and stores its failure, which the future would otherwise hide.
     */
    private void checkReply(
        CompletableFuture<BatchService.Reply> reply, Consumer<BatchService.Reply> check) {
      reply
          .thenAccept(check)
          .exceptionally(
              thrown -> {
                violations.add(thrown);
                return null;
              });
    }

    void checkQuota(TenantName tenant) {
      long waitingTokens = 0;
      for (Map.Entry<String, ObservedJob> job : jobs.entrySet()) {
        if (tenantOf(job.getKey()).equals(tenant)
            && job.getValue().accepted
            && !job.getValue().cancelRequested) {
          for (int i = 0; i < ITEMS_PER_JOB; i++) {
            waitingTokens +=
                cluster.completedItemIds.contains(job.getKey() + "-" + i) ? 0 : TOKENS_PER_ITEM;
          }
        }
      }
      assertThat(
          "waiting tokens of tenant '" + tenant.value() + "', seed " + cluster.seed,
          waitingTokens,
          lessThanOrEqualTo(MAX_WAITING_TOKENS * 11 / 10));
    }

    void cancel(String id) {
      ReplicatedBatchCluster.Gateway gateway = randomGatewayIfUp();
      if (gateway != null) {
        ObservedJob observed = jobs.get(id);
        observed.cancelRequested = true;
        checkReply(
            gateway.batchApi.cancel(tenantOf(id), id),
            reply -> {
              if (reply.status() == 200 && observed.cancelledAt < 0) {
                observed.cancelledAt = cluster.timers.now();
              }
              assertThat("status of the cancellation of " + id, reply.status(), not(is(404)));
            });
      }
    }

    void read(String id) {
      ReplicatedBatchCluster.Gateway gateway = randomGatewayIfUp();
      if (gateway != null) {
        checkReply(
            gateway.batchApi.readResults(tenantOf(id), id, 0, 0),
            reply -> checkReadReply(id, reply));
      }
      if (gateway != null && tenants.size() > 1) {
        readAsOtherTenants(gateway, id);
      }
    }

    /** Checks that a job does not exist for any other tenant than its own. */
    private void readAsOtherTenants(ReplicatedBatchCluster.Gateway gateway, String id) {
      for (TenantName other : tenants) {
        if (!other.equals(tenantOf(id))) {
          checkReply(
              gateway.batchApi.readResults(other, id, 0, 0),
              reply ->
                  assertThat(
                      other.value() + " reads " + id + ", seed " + cluster.seed,
                      reply.status(),
                      anyOf(is(404), is(503))));
        }
      }
    }

    void checkReadReply(String id, BatchService.Reply reply) {
      ObservedJob observed = jobs.get(id);
      assertThat(id + " seed " + cluster.seed, reply.status(), not(is(404)));
      if (reply.status() == 200) {
        String body = new String(reply.body(), StandardCharsets.UTF_8);
        assertThat(body, containsString("\"total\":" + ITEMS_PER_JOB));
        String results = body.substring(body.indexOf('[') + 1, body.length() - 2);
        boolean longer = results.length() >= observed.results.length();
        assertThat(
            "results of " + id + ", seed " + cluster.seed,
            longer ? results : observed.results,
            startsWith(longer ? observed.results : results));
        observed.results = longer ? results : observed.results;
      }
    }

    /** Injects a random fault at a random store, a random gateway or the link between the two. */
    void injectFault() {
      ReplicatedBatchCluster.StoreNode store = cluster.stores.get(cluster.random.nextInt(3));
      ReplicatedBatchCluster.Gateway gateway = cluster.gateways.get(cluster.random.nextInt(3));
      switch (cluster.random.nextInt(7)) {
        case 0 -> store.kill(false);
        case 1 -> store.kill(true);
        case 2 -> cluster.net.isolate(store.address);
        case 3 -> store.disk.stall(1_500);
        case 4 -> gateway.kill();
        case 5 -> cluster.net.isolate(gateway.address);
        default -> cluster.net.breakOpenCallsOnce(gateway.address, store.address);
      }
    }

    void heal() {
      cluster.net.healAll();
      for (ReplicatedBatchCluster.StoreNode store : cluster.stores) {
        if (!store.up) {
          store.start();
        }
      }
      for (ReplicatedBatchCluster.Gateway gateway : cluster.gateways) {
        if (!gateway.up) {
          gateway.start();
        }
      }
    }

    void run() {
      for (int step = 0; step < 60; step++) {
        for (int i = 0; i < tenants.size(); i++) {
          if (cluster.random.nextInt(3) > 0) {
            submit("lot" + nextJobNumber++);
          }
        }
        for (Map.Entry<String, ObservedJob> job : jobs.entrySet()) {
          if (!job.getValue().accepted && cluster.random.nextBoolean()) {
            submit(job.getKey());
          } else if (job.getValue().accepted && cluster.random.nextInt(4) == 0) {
            read(job.getKey());
          }
          if (job.getValue().accepted && cluster.random.nextInt(80) == 0) {
            cancel(job.getKey());
          }
        }
        if (step % 6 == 2 && cluster.allStoresVoting()) {
          injectFault();
        }
        cluster.timers.advance(250 + cluster.random.nextInt(300));
        if (step % 6 == 5) {
          heal();
          cluster.timers.advance(1_500);
        }
      }
      heal();
      cluster.timers.advance(20_000);
    }
  }

  private static void checkFinalState(FaultRun faultRun) {
    for (SimServers servers : faultRun.cluster.allServers) {
      for (SimServers.Run run : servers.runs) {
        checkRun(faultRun, run);
      }
    }
    for (Map.Entry<String, ObservedJob> job : faultRun.jobs.entrySet()) {
      if (job.getValue().accepted) {
        checkResults(faultRun, job.getKey(), job.getValue());
        checkItemBody(faultRun, job.getKey());
      }
    }
  }

  /**
   * Checks that no item of a rejected job runs, and that no item of a cancelled job starts later
   * than 3 s after the cancellation.
   */
  private static void checkRun(FaultRun faultRun, SimServers.Run run) {
    String seedSuffix = ", seed " + faultRun.cluster.seed;
    String jobId = run.item.id().substring(0, run.item.id().indexOf('-'));
    ObservedJob observed = faultRun.jobs.get(jobId);
    boolean rejected = observed.statuses.stream().allMatch(s -> s == 429 || s == 503);
    assertThat(jobId + seedSuffix, run.tenant, is(faultRun.tenantOf(jobId)));
    assertThat(
        jobId + " ran although all its submissions were rejected" + seedSuffix,
        rejected,
        is(false));
    if (observed.cancelledAt >= 0) {
      assertThat(
          jobId + " ran after its cancellation" + seedSuffix,
          run.startedAt - observed.cancelledAt,
          lessThanOrEqualTo(3_000L));
    }
  }

  private static void checkResults(FaultRun faultRun, String jobId, ObservedJob observed) {
    String seedSuffix = ", seed " + faultRun.cluster.seed;
    BatchApi batchApi = faultRun.cluster.gateways.get(0).batchApi;
    BatchService.Reply reply =
        faultRun.cluster.await(batchApi.readResults(faultRun.tenantOf(jobId), jobId, 0, 0));
    assertThat(jobId + seedSuffix, reply.status(), is(200));
    faultRun.checkReadReply(jobId, reply);
    String body = new String(reply.body(), StandardCharsets.UTF_8);
    if (!observed.cancelRequested) {
      for (int i = 0; i < ITEMS_PER_JOB; i++) {
        assertThat(seedSuffix, body, containsString(JobJson.completedResult(jobId + "-" + i)));
      }
    }
  }

  private static void checkItemBody(FaultRun faultRun, String jobId) {
    BatchApi batchApi = faultRun.cluster.gateways.get(1).batchApi;
    BatchService.Reply item =
        faultRun.cluster.await(
            batchApi.readItemBody(faultRun.tenantOf(jobId), jobId, jobId + "-1"));
    String seedSuffix = ", seed " + faultRun.cluster.seed;
    assertThat(jobId + seedSuffix, item.status(), is(200));
    assertThat(
        jobId + seedSuffix,
        new String(item.body(), StandardCharsets.UTF_8),
        is("body " + jobId + "1"));
  }

  /** The numbers of jobs that were accepted, rejected with 429 at least once, and cancelled. */
  private static final class Outcomes {
    int accepted;
    int rejected;
    int cancelled;

    void add(FaultRun faultRun) {
      for (ObservedJob observed : faultRun.jobs.values()) {
        accepted += observed.accepted ? 1 : 0;
        cancelled += observed.cancelledAt >= 0 ? 1 : 0;
        rejected += observed.statuses.contains(429) ? 1 : 0;
      }
    }
  }

  private static Outcomes runSeeds(int seeds, List<TenantName> tenants) {
    Outcomes outcomes = new Outcomes();
    for (int seed = 0; seed < seeds; seed++) {
      FaultRun faultRun = new FaultRun(seed, tenants);
      faultRun.run();
      assertThat(
          "faults of request handlers, seed " + seed,
          faultRun.cluster.net.handlerFaults(),
          is(empty()));
      assertThat("seed " + seed, faultRun.violations, is(empty()));
      checkFinalState(faultRun);
      outcomes.add(faultRun);
    }
    return outcomes;
  }

  @Test
  void invariantsHoldUnderRandomFaults() {
    Outcomes outcomes = runSeeds(16, List.of(TenantName.NONE));
    assertThat(outcomes.accepted, greaterThan(200));
    assertThat(outcomes.rejected, greaterThan(20));
    assertThat(outcomes.cancelled, greaterThan(10));
  }

  /** The quota and the other invariants hold for each of two tenants that share a route. */
  @Test
  void invariantsHoldForEachTenantUnderRandomFaults() {
    Outcomes outcomes = runSeeds(TENANT_SEEDS, TWO_TENANTS);
    assertThat(outcomes.accepted, greaterThan(20 * TENANT_SEEDS));
    assertThat(outcomes.rejected, greaterThan(TENANT_SEEDS));
    assertThat(outcomes.cancelled, greaterThan(TENANT_SEEDS / 2));
    System.out.printf(
        "two tenants, %d seeds: %d jobs accepted, %d rejected at least once, %d cancelled%n",
        TENANT_SEEDS, outcomes.accepted, outcomes.rejected, outcomes.cancelled);
  }

  @Test
  void anAcceptedJobSurvivesTheLossOfItsGatewayAndOfAnyOneDisk() {
    for (int seed = 0; seed < 9; seed++) {
      ReplicatedBatchCluster cluster = new ReplicatedBatchCluster(seed, 3, MAX_WAITING_TOKENS);
      ReplicatedBatchCluster.Gateway gateway = cluster.gateways.get(0);
      CompletableFuture<BatchService.Reply> reply =
          cluster.submit(gateway, "a", ITEMS_PER_JOB, TOKENS_PER_ITEM);
      assertThat(cluster.await(reply).status(), is(202));
      gateway.kill();
      cluster.stores.get(seed % 3).kill(true);
      cluster.timers.advance(200);
      cluster.stores.get(seed % 3).start();
      cluster.timers.advance(9_000);
      String body =
          new String(
              cluster
                  .await(cluster.gateways.get(1).batchApi.readResults(TenantName.NONE, "a", 0, 0))
                  .body(),
              StandardCharsets.UTF_8);
      assertThat("seed " + seed, body, containsString("\"next_token\":" + ITEMS_PER_JOB));
    }
  }
}
