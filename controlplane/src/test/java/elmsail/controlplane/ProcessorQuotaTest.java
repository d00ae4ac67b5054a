package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import elmsail.rpc.messages.Voter;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A processor quota lets each process run for only a part of every 100 ms period and pauses it for
 * the rest; the periods of different processes are not aligned. Such pauses must not make a running
 * process count as lost or move the lease or a voter slot, and changes must still reach all
 * gateways in time.
 */
class ProcessorQuotaTest {
  private static final int CONTROL_PLANE_NODES = 5;
  private static final int STORES = 5;
  private static final int GATEWAYS = 4;
  private static final long RUN_MS = 60_000;
  private static final long MAX_PROPAGATION_MS = 2_000;
  private static final long MAX_ACKNOWLEDGEMENT_MS = 4_000;

  private SimulatedCluster cluster;

  private void start(long seed, double share) {
    cluster = new SimulatedCluster(seed, 3, 2);
    List<String> names = new ArrayList<>();
    for (int i = 1; i <= CONTROL_PLANE_NODES; i++) {
      names.add("n" + i);
    }
    for (int i = 1; i <= STORES; i++) {
      names.add("v" + i);
    }
    for (int i = 1; i <= GATEWAYS; i++) {
      names.add("c" + i);
    }
    for (String name : names) {
      cluster.net.limitProcessor(cluster.address(name), share);
    }
    for (String name : names) {
      switch (name.charAt(0)) {
        case 'n' -> cluster.startControlPlane(name, true);
        case 'v' -> cluster.startStore(name, true);
        default -> cluster.startGateway(name);
      }
    }
    assertThat(cluster.awaitWithin(8_000, () -> cluster.allControlPlaneVotersVote("n1")), is(true));
    assertThat(cluster.replaceAnywhere(0, 1), is(200));
    assertThat(cluster.awaitWithin(15_000, this::isSettled), is(true));
  }

  private boolean isSettled() {
    return leaseTerm() > 0
        && cluster.stores.get("v1").replica().voterSet().voters.size() == STORES
        && cluster.stores.values().stream().allMatch(store -> store.replica().isVoting())
        && cluster.gateways.values().stream().allMatch(gateway -> gateway.config() != null);
  }

  /** The term of the lease; 0 if no node holds the lease. */
  private long leaseTerm() {
    return cluster.controlPlaneNodes.values().stream()
        .mapToLong(ControlPlaneNode::leaseTerm)
        .max()
        .orElse(0);
  }

  private List<String> describeVoters() {
    List<String> found = new ArrayList<>();
    for (Voter voter : cluster.controlPlaneVoters("n1").voters) {
      found.add(voter.machine + "/" + voter.epoch);
    }
    found.add(cluster.describeJobStoreVoters("v1"));
    return found;
  }

  private boolean isInForce(long version) {
    return cluster.gateways.values().stream()
        .allMatch(gateway -> gateway.config().version() == version);
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.12, 0.36, 0.9})
  void throttledProcessesAreNotReplacedAndChangesTakeEffectInTime(double share) {
    for (long seed = 1; seed <= 4; seed++) {
      start(seed, share);
      long term = leaseTerm();
      List<String> voters = describeVoters();
      long refusedBefore = pullsRefused();
      long slowestAckMs = 0;
      long slowestInForceMs = 0;
      long end = cluster.timers.now() + RUN_MS;
      for (long version = 2; cluster.timers.now() < end; version++) {
        long sentAtMs = cluster.timers.now();
        assertThat(cluster.replaceAnywhere(version - 1, version), is(200));
        long acknowledgedAtMs = cluster.timers.now();
        long expected = version;
        assertThat(cluster.awaitWithin(MAX_PROPAGATION_MS, () -> isInForce(expected)), is(true));
        slowestAckMs = Math.max(slowestAckMs, acknowledgedAtMs - sentAtMs);
        slowestInForceMs = Math.max(slowestInForceMs, cluster.timers.now() - acknowledgedAtMs);
        cluster.timers.advance(1_700);
        assertThat("term of the lease", leaseTerm(), is(term));
        assertThat(describeVoters(), is(voters));
      }
      assertThat(slowestAckMs, lessThan(MAX_ACKNOWLEDGEMENT_MS));
      assertThat(
          "pulls rejected for lack of contact with a majority",
          pullsRefused() - refusedBefore,
          is(0L));
      assertThat(maxServerListAgeMs(), lessThanOrEqualTo(2_500L));
      assertThat(term, greaterThan(0L));
      System.out.printf(
          "%.2f of a core, seed %d: acknowledged after %d ms, at gateways %d ms later at most%n",
          share, seed, slowestAckMs, slowestInForceMs);
    }
  }

  private long maxServerListAgeMs() {
    return cluster.gateways.values().stream()
        .mapToLong(gateway -> gateway.serverListAgeMs())
        .max()
        .orElseThrow();
  }

  private long pullsRefused() {
    return cluster.controlPlaneNodes.values().stream()
        .mapToLong(ControlPlaneNode::pullsRefused)
        .sum();
  }
}
