package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.PullResponse;
import elmsail.simulation.SimNode;
import java.util.concurrent.CompletableFuture;

/** Three control-plane nodes, of which n1 is partitioned, and a process that pulls from n1. */
abstract class PartitionTestBase {
  static final long PARTITION_MS = 20_000;

  /** The age at which contact with a majority has lapsed, as {@link QuorumContact#MAX_AGE_MS}. */
  static final long CONTACT_MAX_AGE_MS = 1_500;

  static final String PROBE_ADDRESS = "10.3.0.99:7720";

  SimulatedCluster cluster = new SimulatedCluster(11, 3);

  /** The process that pulls from n1; started with the first pull. */
  private SimNode probe;

  /** The fault that separates n1 from the two other voters. */
  enum Partition {
    BOTH_WAYS,
    REQUESTS_LOST,
    RESPONSES_LOST,
    RESET;

    void begin(SimulatedCluster cluster) {
      for (String other : new String[] {"n2", "n3"}) {
        String n1Address = cluster.address("n1");
        String otherAddress = cluster.address(other);
        switch (this) {
          case BOTH_WAYS -> cluster.net.cutBoth(n1Address, otherAddress);
          case REQUESTS_LOST -> cluster.net.cut(n1Address, otherAddress);
          case RESPONSES_LOST -> cluster.net.cut(otherAddress, n1Address);
          case RESET -> {
            cluster.net.resetCalls(n1Address, otherAddress);
            cluster.net.resetCalls(otherAddress, n1Address);
          }
          default -> throw new AssertionError(this);
        }
      }
    }
  }

  /** Replaces the cluster by a new one, to repeat a test with other timing. */
  void newCluster(long seed) {
    cluster = new SimulatedCluster(seed, 3);
    probe = null;
  }

  void startControlPlane() {
    for (int i = 1; i <= 3; i++) {
      cluster.startControlPlane("n" + i, true);
    }
    assertThat(cluster.replaceAnywhere(0, 1), is(200));
    cluster.timers.advance(1_000);
  }

  CompletableFuture<PullResponse> pull(PullRequest request, long timeoutMs) {
    if (probe == null) {
      probe = cluster.net.startNode(PROBE_ADDRESS);
    }
    return probe.rpcClient().call(cluster.address("n1"), request, PullResponse.class, timeoutMs);
  }

  PullRequest pullRequest(String role, String machine) {
    PullRequest request = new PullRequest();
    request.role = role;
    request.machine = machine;
    request.address = cluster.address(machine);
    request.maxWaitMs = 400;
    return request;
  }

  static boolean hasFailed(CompletableFuture<?> future) {
    return future.isCompletedExceptionally();
  }
}
