package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * A few jobs that together exceed the limit of a route, each submitted to two gateways one after
 * the other, while links are cut or stores crash and restart. The accepted jobs must stay within
 * the limit, and a job that both gateways rejected must not run.
 */
class DoubleSubmissionTest {
  private static final long LIMIT = 1_000;
  private static final int GATEWAYS = 4;
  private static final int JOBS = 4;
  private static final int SEEDS = 400;

  /** A job and the replies to its submissions. */
  private static final class SubmittedJob {
    final String id;
    final long tokens;
    final List<CompletableFuture<BatchService.Reply>> replies = new ArrayList<>();

    SubmittedJob(String id, long tokens) {
      this.id = id;
      this.tokens = tokens;
    }

    boolean any(int status) {
      return replies.stream().anyMatch(reply -> reply.isDone() && reply.join().status() == status);
    }

    boolean allRejected() {
      return replies.stream()
          .allMatch(
              reply ->
                  reply.isDone() && (reply.join().status() == 429 || reply.join().status() == 503));
    }
  }

  /** One simulation run with one seed. */
  private static final class Run {
    final ReplicatedBatchCluster cluster;
    final List<SubmittedJob> jobs = new ArrayList<>();
    private final boolean storesCrash;

    Run(long seed, boolean storesCrash) {
      cluster = new ReplicatedBatchCluster(seed, GATEWAYS, LIMIT);
      this.storesCrash = storesCrash;
      cluster.gateways.forEach(gateway -> gateway.servers.capacity = 0);
      cluster.timers.advance(500);
      for (int i = 0; i < JOBS; i++) {
        SubmittedJob job =
            new SubmittedJob("s" + seed + "-" + i, 250 + cluster.random.nextInt(400));
        jobs.add(job);
        int first = cluster.random.nextInt(GATEWAYS);
        cluster.timers.schedule(cluster.random.nextInt(60), () -> submit(job, first));
        cluster.timers.schedule(
            60 + cluster.random.nextInt(1_500),
            () -> submit(job, (first + 1 + cluster.random.nextInt(GATEWAYS - 1)) % GATEWAYS));
      }
      injectFaults(cluster.timers.now() + 4_000);
      cluster.timers.advance(9_000);
    }

    private void submit(SubmittedJob job, int gateway) {
      job.replies.add(cluster.submit(cluster.gateways.get(gateway), job.id, 1, job.tokens));
    }

    private void injectFaults(long deadline) {
      if (cluster.timers.now() >= deadline) {
        cluster.net.healAll();
        return;
      }
      ReplicatedBatchCluster.StoreNode store = cluster.stores.get(cluster.random.nextInt(3));
      String gateway = cluster.gateways.get(cluster.random.nextInt(GATEWAYS)).address;
      if (storesCrash && cluster.random.nextInt(6) == 0 && cluster.allStoresVoting()) {
        store.kill(false);
        cluster.timers.schedule(20 + cluster.random.nextInt(200), store::start);
      } else {
        boolean toStore = cluster.random.nextBoolean();
        String from = toStore ? gateway : store.address;
        String to = toStore ? store.address : gateway;
        cluster.net.cut(from, to);
        cluster.timers.schedule(10 + cluster.random.nextInt(800), () -> cluster.net.heal(from, to));
      }
      cluster.timers.schedule(10 + cluster.random.nextInt(120), () -> injectFaults(deadline));
    }

    long acceptedTokens() {
      return jobs.stream().filter(job -> job.any(202)).mapToLong(job -> job.tokens).sum();
    }

    List<String> runItemsAndFindRejectedJobsThatRan() {
      cluster.gateways.forEach(gateway -> gateway.servers.capacity = JOBS);
      cluster.timers.advance(12_000);
      List<String> found = new ArrayList<>();
      for (SubmittedJob job : jobs) {
        if (job.allRejected() && cluster.completedItemIds.contains(job.id + "-0")) {
          found.add(job.id);
        }
      }
      return found;
    }
  }

  private static void run(boolean storesCrash) {
    long maxAccepted = 0;
    long sum = 0;
    int timesOverLimit = 0;
    List<String> rejectedAndRun = new ArrayList<>();
    for (int seed = 0; seed < SEEDS; seed++) {
      Run run = new Run(seed, storesCrash);
      maxAccepted = Math.max(maxAccepted, run.acceptedTokens());
      sum += run.acceptedTokens();
      timesOverLimit += run.acceptedTokens() > LIMIT ? 1 : 0;
      rejectedAndRun.addAll(run.runItemsAndFindRejectedJobsThatRan());
    }
    System.out.println(
        (storesCrash ? "stores crash" : "links cut")
            + ": accepted tokens: mean "
            + sum / SEEDS
            + ", maximum "
            + maxAccepted
            + ", over the limit "
            + timesOverLimit
            + " times; rejected and run: "
            + rejectedAndRun);
    assertThat("accepted", maxAccepted, lessThanOrEqualTo(LIMIT));
    assertThat("rejected and run", rejectedAndRun, empty());
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
