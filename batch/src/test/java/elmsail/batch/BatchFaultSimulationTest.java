package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Jobs on the register that the tier has, with gateways and stores that die, forget, freeze and are
 * cut off.
 */
class BatchFaultSimulationTest {
  private static final long LIMIT = 100;
  private static final long TOKENS = 10;
  private static final int ITEMS = 5;

  /** What clients saw of one job. */
  private static final class ObservedJob {
    final List<Integer> statuses = new ArrayList<>();
    boolean accepted;
    boolean cancelRequested;
    long cancelledAt = -1;
    String results = "";
  }

  /** One day of clients and trouble. */
  private static final class FaultRun {
    final ReplicatedBatchCluster world;
    final Map<String, ObservedJob> jobs = new LinkedHashMap<>();
    final List<Throwable> violations = new ArrayList<>();
    int numbers;

    FaultRun(long seed) {
      world = new ReplicatedBatchCluster(seed, 3, LIMIT);
    }

    ReplicatedBatchCluster.Gateway gateway() {
      ReplicatedBatchCluster.Gateway gateway = world.gateways.get(world.random.nextInt(3));
      return gateway.up ? gateway : null;
    }

    void submit(String id) {
      ReplicatedBatchCluster.Gateway gateway = gateway();
      if (gateway == null) {
        return;
      }
      ObservedJob observed = jobs.computeIfAbsent(id, job -> new ObservedJob());
      int attempt = observed.statuses.size();
      observed.statuses.add(0);
      check(
          world.submit(gateway, id, ITEMS, TOKENS),
          reply -> {
            observed.statuses.set(attempt, reply.status());
            if (reply.status() == 202) {
              observed.accepted = true;
              checkQuota();
            }
          });
    }

    /** Keeps what the check found, as futures swallow it. */
    private void check(
        CompletableFuture<BatchService.Reply> reply, Consumer<BatchService.Reply> check) {
      reply
          .thenAccept(check)
          .exceptionally(
              thrown -> {
                violations.add(thrown);
                return null;
              });
    }

    void checkQuota() {
      long waiting = 0;
      for (Map.Entry<String, ObservedJob> job : jobs.entrySet()) {
        if (job.getValue().accepted && !job.getValue().cancelRequested) {
          for (int i = 0; i < ITEMS; i++) {
            waiting += world.served.contains(job.getKey() + "-" + i) ? 0 : TOKENS;
          }
        }
      }
      assertThat("waiting, seed " + world.seed, waiting, lessThanOrEqualTo(LIMIT * 11 / 10));
    }

    void end(String id) {
      ReplicatedBatchCluster.Gateway gateway = gateway();
      if (gateway != null) {
        ObservedJob observed = jobs.get(id);
        observed.cancelRequested = true;
        check(
            gateway.batchApi.cancel(id),
            reply -> {
              if (reply.status() == 200 && observed.cancelledAt < 0) {
                observed.cancelledAt = world.timers.now();
              }
              assertThat("the end of " + id, reply.status(), not(is(404)));
            });
      }
    }

    void read(String id) {
      ReplicatedBatchCluster.Gateway gateway = gateway();
      if (gateway != null) {
        check(gateway.batchApi.readResults(id, 0, 0), reply -> check(id, reply));
      }
    }

    void check(String id, BatchService.Reply reply) {
      ObservedJob observed = jobs.get(id);
      assertThat(id + " seed " + world.seed, reply.status(), not(is(404)));
      if (reply.status() == 200) {
        String body = new String(reply.body(), StandardCharsets.UTF_8);
        assertThat(body, containsString("\"total\":" + ITEMS));
        String results = body.substring(body.indexOf('[') + 1, body.length() - 2);
        boolean longer = results.length() >= observed.results.length();
        assertThat(
            "results of " + id + ", seed " + world.seed,
            longer ? results : observed.results,
            startsWith(longer ? observed.results : results));
        observed.results = longer ? results : observed.results;
      }
    }

    /** Trouble at one store at a time, and at any gateways. */
    void injectFault() {
      ReplicatedBatchCluster.StoreNode store = world.stores.get(world.random.nextInt(3));
      ReplicatedBatchCluster.Gateway gateway = world.gateways.get(world.random.nextInt(3));
      switch (world.random.nextInt(7)) {
        case 0 -> store.kill(false);
        case 1 -> store.kill(true);
        case 2 -> world.net.isolate(store.address);
        case 3 -> store.disk.stall(1_500);
        case 4 -> gateway.kill();
        case 5 -> world.net.isolate(gateway.address);
        default -> world.net.breakOpenCallsOnce(gateway.address, store.address);
      }
    }

    void heal() {
      world.net.healAll();
      for (ReplicatedBatchCluster.StoreNode store : world.stores) {
        if (!store.up) {
          store.start();
        }
      }
      for (ReplicatedBatchCluster.Gateway gateway : world.gateways) {
        if (!gateway.up) {
          gateway.start();
        }
      }
    }

    void run() {
      for (int step = 0; step < 60; step++) {
        if (world.random.nextInt(3) > 0) {
          submit("lot" + numbers++);
        }
        for (Map.Entry<String, ObservedJob> job : jobs.entrySet()) {
          if (!job.getValue().accepted && world.random.nextBoolean()) {
            submit(job.getKey());
          } else if (job.getValue().accepted && world.random.nextInt(4) == 0) {
            read(job.getKey());
          }
          if (job.getValue().accepted && world.random.nextInt(80) == 0) {
            end(job.getKey());
          }
        }
        if (step % 6 == 2 && world.allStoresVoting()) {
          injectFault();
        }
        world.timers.advance(250 + world.random.nextInt(300));
        if (step % 6 == 5) {
          heal();
          world.timers.advance(1_500);
        }
      }
      heal();
      world.timers.advance(20_000);
    }
  }

  private static void checkEnd(FaultRun day) {
    ReplicatedBatchCluster world = day.world;
    String where = ", seed " + world.seed;
    for (SimServers servers : world.allServers) {
      for (SimServers.Run run : servers.runs) {
        String id = run.item.id().substring(0, run.item.id().indexOf('-'));
        ObservedJob observed = day.jobs.get(id);
        boolean promised = !observed.statuses.stream().anyMatch(s -> s != 429 && s != 503);
        assertThat(id + " ran though each try was refused" + where, promised, is(false));
        if (observed.cancelledAt >= 0) {
          assertThat(
              id + " ran after its end" + where,
              run.startedAt - observed.cancelledAt,
              lessThanOrEqualTo(3_000L));
        }
      }
    }
    for (Map.Entry<String, ObservedJob> job : day.jobs.entrySet()) {
      if (job.getValue().accepted) {
        BatchService.Reply reply =
            world.await(world.gateways.get(0).batchApi.readResults(job.getKey(), 0, 0));
        assertThat(job.getKey() + where, reply.status(), is(200));
        day.check(job.getKey(), reply);
        String body = new String(reply.body(), StandardCharsets.UTF_8);
        if (!job.getValue().cancelRequested) {
          for (int i = 0; i < ITEMS; i++) {
            String item = job.getKey() + "-" + i;
            assertThat(
                where,
                body,
                containsString(
                    "{\"id\":\""
                        + item
                        + "\",\"state\":\"delivered\",\"message\":\""
                        + item
                        + "/0\\u000a"
                        + item
                        + "/1\"}"));
          }
        }
        BatchService.Reply item =
            world.await(
                world.gateways.get(1).batchApi.readItemBody(job.getKey(), job.getKey() + "-1"));
        assertThat(
            item.status() + new String(item.body(), StandardCharsets.UTF_8) + where,
            is("200body " + job.getKey() + "1" + where));
      }
    }
  }

  @Test
  void invariantsHoldUnderRandomFaults() {
    int accepted = 0;
    int refused = 0;
    int ended = 0;
    for (int seed = 0; seed < 16; seed++) {
      FaultRun day = new FaultRun(seed);
      day.run();
      assertThat("faults, seed " + seed, day.world.net.handlerFaults(), is(empty()));
      assertThat("seed " + seed, day.violations, is(empty()));
      checkEnd(day);
      for (ObservedJob observed : day.jobs.values()) {
        accepted += observed.accepted ? 1 : 0;
        ended += observed.cancelledAt >= 0 ? 1 : 0;
        refused += observed.statuses.contains(429) ? 1 : 0;
      }
    }
    assertThat(accepted, greaterThan(200));
    assertThat(refused, greaterThan(20));
    assertThat(ended, greaterThan(10));
  }

  @Test
  void anAcceptedJobSurvivesItsGatewayAndAnyOneDisk() {
    for (int seed = 0; seed < 9; seed++) {
      ReplicatedBatchCluster world = new ReplicatedBatchCluster(seed, 3, LIMIT);
      ReplicatedBatchCluster.Gateway gateway = world.gateways.get(0);
      CompletableFuture<BatchService.Reply> reply = world.submit(gateway, "a", ITEMS, TOKENS);
      assertThat(world.await(reply).status(), is(202));
      gateway.kill();
      world.stores.get(seed % 3).kill(true);
      world.timers.advance(200);
      world.stores.get(seed % 3).start();
      world.timers.advance(9_000);
      String body =
          new String(
              world.await(world.gateways.get(1).batchApi.readResults("a", 0, 0)).body(),
              StandardCharsets.UTF_8);
      assertThat("seed " + seed, body, containsString("\"next_token\":" + ITEMS));
    }
  }
}
