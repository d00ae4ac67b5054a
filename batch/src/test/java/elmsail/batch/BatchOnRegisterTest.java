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
class BatchOnRegisterTest {
  private static final long LIMIT = 100;
  private static final long TOKENS = 10;
  private static final int PIECES = 5;

  /** What clients saw of one job. */
  private static final class Seen {
    final List<Integer> statuses = new ArrayList<>();
    boolean accepted;
    boolean endAsked;
    long endedAt = -1;
    String results = "";
  }

  /** One day of clients and trouble. */
  private static final class Day {
    final JobStoreWorld world;
    final Map<String, Seen> jobs = new LinkedHashMap<>();
    final List<Throwable> broken = new ArrayList<>();
    int numbers;

    Day(long seed) {
      world = new JobStoreWorld(seed, 3, LIMIT);
    }

    JobStoreWorld.Gateway gateway() {
      JobStoreWorld.Gateway gateway = world.gateways.get(world.chance.nextInt(3));
      return gateway.up ? gateway : null;
    }

    void hand(String id) {
      JobStoreWorld.Gateway gateway = gateway();
      if (gateway == null) {
        return;
      }
      Seen seen = jobs.computeIfAbsent(id, job -> new Seen());
      int try1 = seen.statuses.size();
      seen.statuses.add(0);
      hear(
          world.hand(gateway, id, PIECES, TOKENS),
          reply -> {
            seen.statuses.set(try1, reply.status());
            if (reply.status() == 202) {
              seen.accepted = true;
              checkQuota();
            }
          });
    }

    /** Keeps what the check found, as futures swallow it. */
    private void hear(CompletableFuture<BatchCalls.Reply> reply, Consumer<BatchCalls.Reply> check) {
      reply
          .thenAccept(check)
          .exceptionally(
              thrown -> {
                broken.add(thrown);
                return null;
              });
    }

    void checkQuota() {
      long waiting = 0;
      for (Map.Entry<String, Seen> one : jobs.entrySet()) {
        if (one.getValue().accepted && !one.getValue().endAsked) {
          for (int i = 0; i < PIECES; i++) {
            waiting += world.served.contains(one.getKey() + "-" + i) ? 0 : TOKENS;
          }
        }
      }
      assertThat("waiting, seed " + world.seed, waiting, lessThanOrEqualTo(LIMIT * 11 / 10));
    }

    void end(String id) {
      JobStoreWorld.Gateway gateway = gateway();
      if (gateway != null) {
        Seen seen = jobs.get(id);
        seen.endAsked = true;
        hear(
            gateway.calls.end(id),
            reply -> {
              if (reply.status() == 200 && seen.endedAt < 0) {
                seen.endedAt = world.timers.now();
              }
              assertThat("the end of " + id, reply.status(), not(is(404)));
            });
      }
    }

    void read(String id) {
      JobStoreWorld.Gateway gateway = gateway();
      if (gateway != null) {
        hear(gateway.calls.read(id, 0, 0), reply -> check(id, reply));
      }
    }

    void check(String id, BatchCalls.Reply reply) {
      Seen seen = jobs.get(id);
      assertThat(id + " seed " + world.seed, reply.status(), not(is(404)));
      if (reply.status() == 200) {
        String body = new String(reply.body(), StandardCharsets.UTF_8);
        assertThat(body, containsString("\"total\":" + PIECES));
        String results = body.substring(body.indexOf('[') + 1, body.length() - 2);
        boolean longer = results.length() >= seen.results.length();
        assertThat(
            "results of " + id + ", seed " + world.seed,
            longer ? results : seen.results,
            startsWith(longer ? seen.results : results));
        seen.results = longer ? results : seen.results;
      }
    }

    /** Trouble at one store at a time, and at any gateways. */
    void trouble() {
      JobStoreWorld.Vault store = world.stores.get(world.chance.nextInt(3));
      JobStoreWorld.Gateway gateway = world.gateways.get(world.chance.nextInt(3));
      switch (world.chance.nextInt(7)) {
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
      for (JobStoreWorld.Vault store : world.stores) {
        if (!store.up) {
          store.start();
        }
      }
      for (JobStoreWorld.Gateway gateway : world.gateways) {
        if (!gateway.up) {
          gateway.start();
        }
      }
    }

    void play() {
      for (int step = 0; step < 60; step++) {
        if (world.chance.nextInt(3) > 0) {
          hand("lot" + numbers++);
        }
        for (Map.Entry<String, Seen> one : jobs.entrySet()) {
          if (!one.getValue().accepted && world.chance.nextBoolean()) {
            hand(one.getKey());
          } else if (one.getValue().accepted && world.chance.nextInt(4) == 0) {
            read(one.getKey());
          }
          if (one.getValue().accepted && world.chance.nextInt(80) == 0) {
            end(one.getKey());
          }
        }
        if (step % 6 == 2 && world.calm()) {
          trouble();
        }
        world.timers.advance(250 + world.chance.nextInt(300));
        if (step % 6 == 5) {
          heal();
          world.timers.advance(1_500);
        }
      }
      heal();
      world.timers.advance(20_000);
    }
  }

  private static void checkEnd(Day day) {
    JobStoreWorld world = day.world;
    String where = ", seed " + world.seed;
    for (SimServers servers : world.all) {
      for (SimServers.Run run : servers.runs) {
        String id = run.batchItem.id().substring(0, run.batchItem.id().indexOf('-'));
        Seen seen = day.jobs.get(id);
        boolean promised = !seen.statuses.stream().anyMatch(s -> s != 429 && s != 503);
        assertThat(id + " ran though each try was refused" + where, promised, is(false));
        if (seen.endedAt >= 0) {
          assertThat(
              id + " ran after its end" + where, run.at - seen.endedAt, lessThanOrEqualTo(3_000L));
        }
      }
    }
    for (Map.Entry<String, Seen> one : day.jobs.entrySet()) {
      if (one.getValue().accepted) {
        BatchCalls.Reply reply = world.await(world.gateways.get(0).calls.read(one.getKey(), 0, 0));
        assertThat(one.getKey() + where, reply.status(), is(200));
        day.check(one.getKey(), reply);
        String body = new String(reply.body(), StandardCharsets.UTF_8);
        if (!one.getValue().endAsked) {
          for (int i = 0; i < PIECES; i++) {
            String item = one.getKey() + "-" + i;
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
        BatchCalls.Reply item =
            world.await(world.gateways.get(1).calls.item(one.getKey(), one.getKey() + "-1"));
        assertThat(
            item.status() + new String(item.body(), StandardCharsets.UTF_8) + where,
            is("200body " + one.getKey() + "1" + where));
      }
    }
  }

  @Test
  void theRulesHoldThroughTrouble() {
    int accepted = 0;
    int refused = 0;
    int ended = 0;
    for (int seed = 0; seed < 16; seed++) {
      Day day = new Day(seed);
      day.play();
      assertThat("faults, seed " + seed, day.world.net.handlerFaults(), is(empty()));
      assertThat("seed " + seed, day.broken, is(empty()));
      checkEnd(day);
      for (Seen seen : day.jobs.values()) {
        accepted += seen.accepted ? 1 : 0;
        ended += seen.endedAt >= 0 ? 1 : 0;
        refused += seen.statuses.contains(429) ? 1 : 0;
      }
    }
    assertThat(accepted, greaterThan(200));
    assertThat(refused, greaterThan(20));
    assertThat(ended, greaterThan(10));
  }

  @Test
  void anAcceptedJobOutlivesItsGatewayAndAnyOneDisk() {
    for (int seed = 0; seed < 9; seed++) {
      JobStoreWorld world = new JobStoreWorld(seed, 3, LIMIT);
      JobStoreWorld.Gateway gateway = world.gateways.get(0);
      CompletableFuture<BatchCalls.Reply> reply = world.hand(gateway, "a", PIECES, TOKENS);
      assertThat(world.await(reply).status(), is(202));
      gateway.kill();
      world.stores.get(seed % 3).kill(true);
      world.timers.advance(200);
      world.stores.get(seed % 3).start();
      world.timers.advance(9_000);
      String body =
          new String(
              world.await(world.gateways.get(1).calls.read("a", 0, 0)).body(),
              StandardCharsets.UTF_8);
      assertThat("seed " + seed, body, containsString("\"next_token\":" + PIECES));
    }
  }
}
