package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * A holder of the singleton lease freezes until another node acquires the lease; that node is then
 * stopped and releases the lease at once. Guards against the first holder's use of the reacquired
 * lease within the platform's lease time after its own last use.
 */
class LeaseReacquisitionTest {
  private static final long LEASE_MS = 3_000;
  private static final int NODES = 3;

  /**
   * The minimum time between a holder's uses applies only if the settings configure platform
   * duties.
   */
  private static final double DUTY_CALLS_PER_SECOND = 50;

  private SimulatedCluster cluster;
  private final Map<String, Long> lastUseMs = new HashMap<>();
  private String lastUser;
  private long shortestReuseGapMs;
  private int reacquisitions;

  private void useLeaseRepeatedly(String name) {
    cluster
        .nodes
        .get(name)
        .timers()
        .schedule(
            5,
            () -> {
              useLeaseRepeatedly(name);
              if (cluster.controlPlaneNodes.get(name).leaseTerm() > 0) {
                onUse(name);
              }
            });
  }

  private void onUse(String name) {
    long now = cluster.timers.now();
    if (lastUser != null && !lastUser.equals(name) && lastUseMs.containsKey(name)) {
      reacquisitions++;
      shortestReuseGapMs = Math.min(shortestReuseGapMs, now - lastUseMs.get(name));
    }
    lastUser = name;
    lastUseMs.put(name, now);
  }

  private String currentHolder() {
    for (Map.Entry<String, ControlPlaneNode> each : cluster.controlPlaneNodes.entrySet()) {
      if (each.getValue().leaseTerm() > 0) {
        return each.getKey();
      }
    }
    return null;
  }

  private void alternateHolders(long seed) {
    cluster = new SimulatedCluster(seed, NODES);
    cluster.dutyCallsPerSecond = DUTY_CALLS_PER_SECOND;
    lastUseMs.clear();
    lastUser = null;
    for (int i = 1; i <= NODES; i++) {
      cluster.startControlPlane("n" + i, true);
      useLeaseRepeatedly("n" + i);
    }
    assertThat(cluster.awaitWithin(10_000, () -> currentHolder() != null), is(true));
    for (int i = 0; i < 4; i++) {
      cluster.timers.advance(3_000 + seed * 37 % 600);
      String first = currentHolder();
      cluster.net.freeze(cluster.address(first));
      cluster.awaitWithin(10_000, () -> lastUser != null && !lastUser.equals(first));
      String second = lastUser;
      cluster.net.thaw(cluster.address(first));
      cluster.controlPlaneNodes.get(second).close();
      for (String other : cluster.nodes.keySet()) {
        if (!other.equals(first) && !other.equals(second)) {
          cluster.net.freeze(cluster.address(other));
          cluster.timers.advance(400);
          cluster.net.thaw(cluster.address(other));
        }
      }
      cluster.awaitWithin(10_000, () -> first.equals(lastUser));
      cluster.kill(second);
      cluster.startControlPlane(second, false);
      useLeaseRepeatedly(second);
    }
  }

  @Test
  void reacquiredLeaseIsNotUsedWithinALeaseTimeAfterAnotherHolder() {
    shortestReuseGapMs = Long.MAX_VALUE;
    for (long seed = 1; seed <= 30; seed++) {
      alternateHolders(seed);
    }
    assertThat("reacquisitions", reacquisitions, greaterThan(30));
    assertThat(shortestReuseGapMs, greaterThanOrEqualTo(LEASE_MS));
  }
}
