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
    final List<CompletableFuture<BatchService.Reply>> replies = new ArrayList<>();

    Submitted(String id, long tokens) {
      this.id = id;
      this.tokens = tokens;
    }

    boolean any(int status) {
      return replies.stream().anyMatch(one -> one.isDone() && one.join().status() == status);
    }

    boolean allRejected() {
      return replies.stream()
          .allMatch(
              one -> one.isDone() && (one.join().status() == 429 || one.join().status() == 503));
    }
  }

  /** One run from one seed. */
  private static final class Run {
    final ReplicatedBatchCluster world;
    final List<Submitted> jobs = new ArrayList<>();
    private final boolean storesDie;

    Run(long seed, boolean storesDie) {
      world = new ReplicatedBatchCluster(seed, GATEWAYS, LIMIT);
      this.storesDie = storesDie;
      world.gateways.forEach(gateway -> gateway.servers.capacity = 0);
      world.timers.advance(500);
      for (int i = 0; i < JOBS; i++) {
        Submitted job = new Submitted("s" + seed + "-" + i, 250 + world.random.nextInt(400));
        jobs.add(job);
        int first = world.random.nextInt(GATEWAYS);
        world.timers.schedule(world.random.nextInt(60), () -> submit(job, first));
        world.timers.schedule(
            60 + world.random.nextInt(1_500),
            () -> submit(job, (first + 1 + world.random.nextInt(GATEWAYS - 1)) % GATEWAYS));
      }
      injectFaults(world.timers.now() + 4_000);
      world.timers.advance(9_000);
    }

    private void submit(Submitted job, int gateway) {
      job.replies.add(world.submit(world.gateways.get(gateway), job.id, 1, job.tokens));
    }

    private void injectFaults(long deadline) {
      if (world.timers.now() >= deadline) {
        world.net.healAll();
        return;
      }
      ReplicatedBatchCluster.StoreNode store = world.stores.get(world.random.nextInt(3));
      String gateway = world.gateways.get(world.random.nextInt(GATEWAYS)).address;
      if (storesDie && world.random.nextInt(6) == 0 && world.allStoresVoting()) {
        store.kill(false);
        world.timers.schedule(20 + world.random.nextInt(200), store::start);
      } else {
        boolean toStore = world.random.nextBoolean();
        String from = toStore ? gateway : store.address;
        String to = toStore ? store.address : gateway;
        world.net.cut(from, to);
        world.timers.schedule(10 + world.random.nextInt(800), () -> world.net.heal(from, to));
      }
      world.timers.schedule(10 + world.random.nextInt(120), () -> injectFaults(deadline));
    }

    long accepted() {
      return jobs.stream().filter(job -> job.any(202)).mapToLong(job -> job.tokens).sum();
    }

    List<String> rejectedAndRun() {
      world.gateways.forEach(gateway -> gateway.servers.capacity = JOBS);
      world.timers.advance(12_000);
      List<String> found = new ArrayList<>();
      for (Submitted job : jobs) {
        if (job.allRejected() && world.served.contains(job.id + "-0")) {
          found.add(job.id);
        }
      }
      return found;
    }
  }

  private static void run(boolean storesDie) {
    long most = 0;
    long sum = 0;
    int over = 0;
    List<String> rejectedAndRun = new ArrayList<>();
    for (int seed = 0; seed < SEEDS; seed++) {
      Run run = new Run(seed, storesDie);
      most = Math.max(most, run.accepted());
      sum += run.accepted();
      over += run.accepted() > LIMIT ? 1 : 0;
      rejectedAndRun.addAll(run.rejectedAndRun());
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
            + rejectedAndRun);
    assertThat("accepted", most, lessThanOrEqualTo(LIMIT));
    assertThat("refused and run", rejectedAndRun, empty());
  }

  @Test
  void withCutLinksTheLimitHoldsAndRejectedJobsAreNotRun() {
    run(false);
  }

  @Test
  void withCrashingStoresTheLimitHoldsAndRejectedJobsAreNotRun() {
    run(true);
  }
}
