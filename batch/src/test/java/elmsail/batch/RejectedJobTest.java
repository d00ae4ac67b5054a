package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** A job that was refused for the limit is not run, even if one store had taken it. */
class RejectedJobTest {
  private static final long LIMIT = 1_000;
  private static final long TOKENS = 600;

  /**
   * The acceptance reaches one store alone; the next look reaches the two others, where another job
   * is being accepted.
   */
  private static int statusThenRun(int cutAfter, String rival) {
    ReplicatedBatchCluster world = new ReplicatedBatchCluster(cutAfter, 3, LIMIT);
    world.timers.advance(1_000);
    String first = world.gateways.get(0).address;
    String second = world.gateways.get(1).address;
    String alone = world.stores.get(0).address;
    CompletableFuture<BatchService.Reply> reply =
        world.submit(world.gateways.get(0), "refused", 1, TOKENS);
    world.timers.advance(cutAfter);
    for (int i = 1; i < 3; i++) {
      world.net.cut(first, world.stores.get(i).address);
    }
    world.timers.advance(1_470 - cutAfter);
    world.net.healAll();
    world.net.cutBoth(first, alone);
    world.net.cutBoth(second, alone);
    world.timers.advance(25);
    CompletableFuture<BatchService.Reply> other =
        world.submit(world.gateways.get(1), rival, 1, TOKENS);
    BatchService.Reply answered = world.await(reply);
    BatchService.Reply otherAnswered = world.await(other);
    world.net.healAll();
    world.timers.advance(15_000);
    boolean ran = world.served.contains("refused-0");
    System.out.println(
        "cut after "
            + cutAfter
            + " ms, "
            + rival
            + ": "
            + answered.status()
            + ", the rival "
            + otherAnswered.status()
            + ", run: "
            + ran);
    return ran ? answered.status() : 0;
  }

  @Test
  void aJobRejectedOverQuotaIsNotRun() {
    int rejectedAndRun = 0;
    for (int cutAfter = 4; cutAfter < 48; cutAfter++) {
      for (String rival : new String[] {"rival", "other", "third"}) {
        rejectedAndRun += statusThenRun(cutAfter, rival) == 429 ? 1 : 0;
      }
    }
    assertThat(rejectedAndRun, is(0));
  }
}
