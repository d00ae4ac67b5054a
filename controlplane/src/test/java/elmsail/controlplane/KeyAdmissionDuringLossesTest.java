package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import elmsail.config.RevocationBound;
import elmsail.config.watch.ConfigWatcher;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Losses that the control plane tolerates must not stop gateways from admitting keys. While two of
 * five control-plane nodes are lost, every gateway that reaches another node must receive the
 * confirmation of its configuration in time.
 */
class KeyAdmissionDuringLossesTest {
  private static final int SEEDS = Integer.getInteger("elmsail.revocation.seeds", 4);
  private static final int NODE_COUNT = 5;
  private static final int GATEWAY_COUNT = 6;
  private static final long REVOKE_MS = 5_000;
  private static final long LOSS_DURATION_MS = 12_000;

  /** The fault that makes the nodes unavailable. */
  enum Loss {
    KILLED,
    POWERED_OFF,
    FROZEN,
    CUT_FROM_ALL,
    CUT_FROM_OTHER_NODES,
    /** Each gateway is cut off from the three nodes that it watches; the nodes reach each other. */
    WATCHED_NODES_CUT_FROM_GATEWAYS
  }

  private SimulatedCluster cluster;
  private final Map<String, RevocationBound> bounds = new TreeMap<>();
  private long maxConfirmationAgeMs;

  @ParameterizedTest
  @EnumSource(Loss.class)
  void gatewaysAdmitKeysDuringToleratedLosses(Loss loss) {
    for (int seed = 1; seed <= SEEDS; seed++) {
      start(seed);
      beginLoss(loss, lostNodes(seed));
      assertKeysAdmittedFor(loss + ", seed " + seed, LOSS_DURATION_MS);
    }
    assertThat("the loss delays confirmations", maxConfirmationAgeMs, greaterThan(1_000L));
  }

  private void start(long seed) {
    cluster = new SimulatedCluster(seed, NODE_COUNT, 2);
    cluster.revokeMs = REVOKE_MS;
    bounds.clear();
    for (int i = 1; i <= NODE_COUNT; i++) {
      cluster.net.limitProcessor(cluster.address("n" + i), 0.72);
      cluster.startControlPlane("n" + i, true);
    }
    for (int i = 1; i <= GATEWAY_COUNT; i++) {
      String name = "c" + i;
      cluster.net.limitProcessor(cluster.address(name), 0.12);
      cluster.startGateway(name);
      bounds.put(name, new RevocationBound(cluster.gateways.get(name), REVOKE_MS));
    }
    assertThat(cluster.replaceAnywhere(0, 1), is(200));
    cluster.timers.advance(6_000);
  }

  private static List<String> lostNodes(long seed) {
    List<String> nodes = new ArrayList<>();
    for (int i = 1; i <= NODE_COUNT; i++) {
      nodes.add("n" + i);
    }
    Collections.shuffle(nodes, new Random(seed));
    return nodes.subList(0, 2);
  }

  private void beginLoss(Loss loss, List<String> lost) {
    if (loss == Loss.WATCHED_NODES_CUT_FROM_GATEWAYS) {
      cluster.gateways.forEach(
          (name, gateway) -> {
            for (String node : gateway.upstreams()) {
              cluster.net.cutBoth(cluster.address(name), node);
            }
          });
      return;
    }
    for (String node : lost) {
      String address = cluster.address(node);
      switch (loss) {
        case KILLED -> cluster.net.kill(address, true);
        case POWERED_OFF -> cluster.net.kill(address, false);
        case FROZEN -> cluster.net.freeze(address);
        case CUT_FROM_ALL -> cluster.net.isolate(address);
        case CUT_FROM_OTHER_NODES -> {
          for (int i = 1; i <= NODE_COUNT; i++) {
            if (!node.equals("n" + i)) {
              cluster.net.cutBoth(address, cluster.address("n" + i));
            }
          }
        }
        default -> throw new AssertionError(loss);
      }
    }
  }

  private void assertKeysAdmittedFor(String scenario, long durationMs) {
    for (long end = cluster.timers.now() + durationMs; cluster.timers.now() < end; ) {
      cluster.timers.advance(2);
      bounds.forEach(
          (name, bound) -> {
            ConfigWatcher gateway = cluster.gateways.get(name);
            maxConfirmationAgeMs = Math.max(maxConfirmationAgeMs, gateway.configConfirmedAgeMs());
            assertThat(scenario + ": " + name, bound.mayAdmitKeys(), is(true));
          });
    }
  }
}
