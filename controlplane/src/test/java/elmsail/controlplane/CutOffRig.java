package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.PullResponse;
import elmsail.simulation.SimNode;
import java.util.concurrent.CompletableFuture;

/** Three control-plane nodes, of which n1 is cut off, and a process that asks it. */
abstract class CutOffRig {
  static final long CUT_MS = 20_000;

  /** Older than this, contact is none: as {@code QuorumContact.BOUND_MS}. */
  static final long BOUND_MS = 1_500;

  static final String PROBE = "10.3.0.99:7720";

  World world = new World(11, 3);

  /** A process that asks n1 what it gives out; made with the first question. */
  private SimNode probe;

  /** What keeps n1 from the two other voters. */
  enum Cut {
    BOTH_WAYS,
    REQUESTS_LOST,
    ANSWERS_LOST,
    RESET;

    void begin(World world) {
      for (String other : new String[] {"n2", "n3"}) {
        String there = world.address("n1");
        String here = world.address(other);
        switch (this) {
          case BOTH_WAYS -> world.net.cutBoth(there, here);
          case REQUESTS_LOST -> world.net.cut(there, here);
          case ANSWERS_LOST -> world.net.cut(here, there);
          case RESET -> {
            world.net.resetCalls(there, here);
            world.net.resetCalls(here, there);
          }
          default -> throw new AssertionError(this);
        }
      }
    }
  }

  /** Another world, to try the same at another time. */
  void begin(long seed) {
    world = new World(seed, 3);
    probe = null;
  }

  void heads() {
    for (int i = 1; i <= 3; i++) {
      world.controlPlane("n" + i, true);
    }
    assertThat(world.replaceAnywhere(0, 1), is(200));
    world.timers.advance(1_000);
  }

  CompletableFuture<PullResponse> pull(PullRequest request, long timeoutMs) {
    if (probe == null) {
      probe = world.net.startNode(PROBE);
    }
    return probe.rpcClient().call(world.address("n1"), request, PullResponse.class, timeoutMs);
  }

  PullRequest request(String role, String station) {
    PullRequest request = new PullRequest();
    request.role = role;
    request.machine = station;
    request.address = world.address(station);
    request.maxWaitMs = 400;
    return request;
  }

  static boolean failed(CompletableFuture<?> future) {
    return future.isCompletedExceptionally();
  }
}
