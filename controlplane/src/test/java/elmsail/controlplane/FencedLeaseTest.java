package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import elmsail.simulation.SimNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Holders of the singleton lease send its term as a fencing token with each call to a platform that
 * rejects tokens lower than the highest it has seen. Calls and rejections may be delayed by more
 * than a lease duration, and holders freeze between the check of the lease and the call. Guards
 * against a rejected token that is used again, and against two holders whose calls alternate within
 * a lease duration.
 */
class FencedLeaseTest {
  private static final int NODES = 3;
  private static final long CALL_INTERVAL_MS = 50;
  private static final long MAX_DELAY_MS = 4_000;
  private static final long SCENARIO_MS = 60_000;

  private record Call(String holder, long token, long arrivedAtMs) {}

  private final List<Call> accepted = new ArrayList<>();
  private final Map<Long, String> holderByToken = new HashMap<>();
  private final Map<String, Long> rejectedToken = new HashMap<>();
  private SimulatedCluster cluster;
  private Random random;
  private long highestToken;
  private int rejections;
  private int freezes;

  private void startCluster(long seed) {
    cluster = new SimulatedCluster(seed, NODES);
    random = new Random(seed);
    accepted.clear();
    holderByToken.clear();
    rejectedToken.clear();
    highestToken = 0;
    for (int i = 1; i <= NODES; i++) {
      cluster.startControlPlane("n" + i, true);
      scheduleCalls("n" + i);
    }
  }

  private void scheduleCalls(String name) {
    SimNode node = cluster.nodes.get(name);
    node.timers()
        .schedule(
            CALL_INTERVAL_MS,
            () -> {
              scheduleCalls(name);
              long token = cluster.controlPlaneNodes.get(name).leaseTerm();
              if (token > 0) {
                assertThat(
                    name + " uses a rejected token again",
                    token,
                    greaterThan(rejectedToken.getOrDefault(name, 0L)));
                cluster.timers.schedule(randomDelayMs(), () -> onCallReceived(name, token));
              }
            });
  }

  private long randomDelayMs() {
    return random.nextInt(20) == 0 ? random.nextInt((int) MAX_DELAY_MS) : random.nextInt(20);
  }

  private void onCallReceived(String name, long token) {
    assertThat("token " + token, holderByToken.computeIfAbsent(token, first -> name), is(name));
    if (token >= highestToken) {
      highestToken = token;
      accepted.add(new Call(name, token, cluster.timers.now()));
      return;
    }
    rejections++;
    SimNode node = cluster.nodes.get(name);
    cluster.timers.schedule(
        randomDelayMs(),
        () ->
            node.timers()
                .execute(
                    () -> {
                      rejectedToken.merge(name, token, Math::max);
                      cluster.controlPlaneNodes.get(name).singletonLease().onFenced(token);
                    }));
  }

  private void runWithFreezes() {
    for (long end = cluster.timers.now() + SCENARIO_MS; cluster.timers.now() < end; ) {
      cluster.timers.advance(500 + random.nextInt(4_000));
      String name = currentHolder();
      if (name != null && random.nextInt(3) > 0) {
        freezes++;
        cluster.net.freeze(cluster.address(name));
        cluster.timers.advance(200 + random.nextInt(6_000));
        cluster.net.thaw(cluster.address(name));
      }
    }
  }

  private String currentHolder() {
    for (Map.Entry<String, ControlPlaneNode> each : cluster.controlPlaneNodes.entrySet()) {
      if (each.getValue().leaseTerm() > 0) {
        return each.getKey();
      }
    }
    return null;
  }

  /**
   * Asserts that no call of another holder is accepted between two accepted calls of one holder
   * within a lease duration.
   */
  private void assertHoldersDoNotAlternate() {
    Map<String, Long> lastAcceptedAtMs = new HashMap<>();
    String previousHolder = null;
    for (Call call : accepted) {
      if (previousHolder != null
          && !previousHolder.equals(call.holder)
          && lastAcceptedAtMs.containsKey(call.holder)) {
        assertThat(
            "token " + call.token + " " + call.holder + " after " + previousHolder,
            call.arrivedAtMs - lastAcceptedAtMs.get(call.holder),
            greaterThan(LeaseVoter.LEASE_DURATION_MS));
      }
      lastAcceptedAtMs.put(call.holder, call.arrivedAtMs);
      previousHolder = call.holder;
    }
  }

  @Test
  void rejectedTokenIsNeverReusedAndHoldersDoNotAlternate() {
    int acceptedCalls = 0;
    for (long seed = 1; seed <= 40; seed++) {
      startCluster(seed);
      runWithFreezes();
      assertHoldersDoNotAlternate();
      acceptedCalls += accepted.size();
    }
    assertThat("calls of superseded holders", rejections, greaterThan(20));
    assertThat("freezes", freezes, greaterThan(200));
    assertThat("calls accepted", acceptedCalls, greaterThan(40 * 300));
  }

  /** Simulates a failure of the lease's own safety: the rejected token alone stops the holder. */
  @Test
  void fencedHolderStopsAtOnceAndAnotherTakesOverWithAHigherTerm() {
    startCluster(7);
    assertThat(cluster.awaitWithin(10_000, () -> currentHolder() != null), is(true));
    String name = currentHolder();
    ControlPlaneNode node = cluster.controlPlaneNodes.get(name);
    long term = node.leaseTerm();
    node.singletonLease().onFenced(term - 1);
    assertThat("rejection of an older term is ignored", node.leaseTerm(), is(term));
    node.singletonLease().onFenced(term);
    assertThat(node.leaseTerm(), is(0L));
    long fencedAt = cluster.timers.now();
    assertThat(cluster.awaitWithin(10_000, () -> currentHolder() != null), is(true));
    long next = cluster.controlPlaneNodes.get(currentHolder()).leaseTerm();
    assertThat(next, greaterThan(term));
    assertThat("another takes over", currentHolder().equals(name), is(false));
    assertThat(cluster.timers.now() - fencedAt, lessThanOrEqualTo(3_000L));
  }
}
