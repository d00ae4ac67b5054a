package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Few jobs that contend for a route, each submitted at two gateways one after the other, while
 * stores die and come back, and links are cut.
 */
class DoubleSubmissionTest {
  private static final long LIMIT = 1_000;
  private static final int GATEWAYS = 4;
  private static final int JOBS = 4;
  private static final int SEEDS = 400;

  /** A job and what was answered to its submissions. */
  private static final class Submitted {
    final String id;
    final long tokens;
    final List<CompletableFuture<BatchCalls.Reply>> replies = new ArrayList<>();

    Submitted(String id, long tokens) {
      this.id = id;
      this.tokens = tokens;
    }

    boolean any(int status) {
      return replies.stream().anyMatch(one -> one.isDone() && one.join().status() == status);
    }

    boolean surelyRefused() {
      return replies.stream()
          .allMatch(
              one -> one.isDone() && (one.join().status() == 429 || one.join().status() == 503));
    }
  }

  /** One run from one seed. */
  private static final class Run {
    final JobStoreWorld world;
    final List<Submitted> jobs = new ArrayList<>();
    private final boolean storesDie;

    Run(long seed, boolean storesDie) {
      world = new JobStoreWorld(seed, GATEWAYS, LIMIT);
      this.storesDie = storesDie;
      world.gateways.forEach(gateway -> gateway.servers.room = 0);
      world.timers.advance(500);
      for (int i = 0; i < JOBS; i++) {
        Submitted job = new Submitted("s" + seed + "-" + i, 250 + world.chance.nextInt(400));
        jobs.add(job);
        int first = world.chance.nextInt(GATEWAYS);
        world.timers.schedule(world.chance.nextInt(60), () -> submit(job, first));
        world.timers.schedule(
            60 + world.chance.nextInt(1_500),
            () -> submit(job, (first + 1 + world.chance.nextInt(GATEWAYS - 1)) % GATEWAYS));
      }
      trouble(world.timers.now() + 4_000);
      world.timers.advance(9_000);
    }

    private void submit(Submitted job, int gateway) {
      job.replies.add(world.hand(world.gateways.get(gateway), job.id, 1, job.tokens));
    }

    private void trouble(long until) {
      if (world.timers.now() >= until) {
        world.net.healAll();
        return;
      }
      JobStoreWorld.Vault store = world.stores.get(world.chance.nextInt(3));
      String gateway = world.gateways.get(world.chance.nextInt(GATEWAYS)).address;
      if (storesDie && world.chance.nextInt(6) == 0 && world.calm()) {
        store.kill(false);
        world.timers.schedule(20 + world.chance.nextInt(200), store::start);
      } else {
        boolean toStore = world.chance.nextBoolean();
        String from = toStore ? gateway : store.address;
        String to = toStore ? store.address : gateway;
        world.net.cut(from, to);
        world.timers.schedule(10 + world.chance.nextInt(800), () -> world.net.heal(from, to));
      }
      world.timers.schedule(10 + world.chance.nextInt(120), () -> trouble(until));
    }

    long accepted() {
      return jobs.stream().filter(job -> job.any(202)).mapToLong(job -> job.tokens).sum();
    }

    List<String> refusedAndRun() {
      world.gateways.forEach(gateway -> gateway.servers.room = JOBS);
      world.timers.advance(12_000);
      List<String> found = new ArrayList<>();
      for (Submitted job : jobs) {
        if (job.surelyRefused() && world.served.contains(job.id + "-0")) {
          found.add(job.id);
        }
      }
      return found;
    }
  }

  private static void play(boolean storesDie) {
    long most = 0;
    long sum = 0;
    int over = 0;
    List<String> refusedAndRun = new ArrayList<>();
    for (int seed = 0; seed < SEEDS; seed++) {
      Run run = new Run(seed, storesDie);
      most = Math.max(most, run.accepted());
      sum += run.accepted();
      over += run.accepted() > LIMIT ? 1 : 0;
      refusedAndRun.addAll(run.refusedAndRun());
    }
    System.out.println(
        (storesDie ? "stores die" : "links cut")
            + ": accepted in the mean "
            + sum / SEEDS
            + ", at most "
            + most
            + ", over the limit "
            + over
            + " times; refused and run: "
            + refusedAndRun);
    assertThat("accepted", most, lessThanOrEqualTo(LIMIT));
    assertThat("refused and run", refusedAndRun, empty());
  }

  @Test
  void withLinksThatAreCutTheLimitHoldsAndRefusedJobsAreNotRun() {
    play(false);
  }

  @Test
  void withStoresThatDieTheLimitHoldsAndRefusedJobsAreNotRun() {
    play(true);
  }
}
