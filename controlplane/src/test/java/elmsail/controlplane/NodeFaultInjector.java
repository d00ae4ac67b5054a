package elmsail.controlplane;

import java.util.Random;

/** Injects faults into one node at a time: kill, power loss, disk loss, freeze or isolation. */
final class NodeFaultInjector {
  private enum Kind {
    KILL,
    POWER_LOSS,
    WIPE,
    FREEZE,
    ISOLATE
  }

  /**
   * A replica that lost its disk counts as lost until it has copied all records, which takes at
   * most this long.
   */
  private static final long CATCH_UP_MS = 4_900;

  private final SimulatedCluster cluster;
  private final Random random;
  private final int nodeCount;
  private String faultyNode;
  private Kind kind;
  private long faultEndsAtMs;
  private long nextFaultAtMs;
  private int faultCount;

  NodeFaultInjector(SimulatedCluster cluster, Random random, int nodeCount) {
    this.cluster = cluster;
    this.random = random;
    this.nodeCount = nodeCount;
  }

  /** Begins or ends a fault, or does nothing; called every few ms. */
  void step() {
    if (faultyNode == null && cluster.timers.now() >= nextFaultAtMs && random.nextInt(150) == 0) {
      beginFault();
    } else if (faultyNode != null && cluster.timers.now() >= faultEndsAtMs) {
      endFault();
    }
  }

  int faultCount() {
    return faultCount;
  }

  private void beginFault() {
    faultyNode = "n" + (1 + random.nextInt(nodeCount));
    kind = Kind.values()[random.nextInt(Kind.values().length)];
    faultEndsAtMs = cluster.timers.now() + 100 + random.nextInt(3_000);
    faultCount++;
    switch (kind) {
      case KILL -> cluster.kill(faultyNode);
      case POWER_LOSS -> {
        cluster.net.kill(cluster.address(faultyNode), false);
        cluster.disks.get(faultyNode).powerLoss();
      }
      case WIPE -> cluster.wipe(faultyNode);
      case FREEZE -> cluster.net.freeze(cluster.address(faultyNode));
      default -> cluster.net.isolate(cluster.address(faultyNode));
    }
  }

  /** Ends the current fault, if there is one. */
  void endFault() {
    if (faultyNode == null) {
      return;
    }
    String node = faultyNode;
    faultyNode = null;
    switch (kind) {
      case FREEZE -> cluster.net.thaw(cluster.address(node));
      case ISOLATE -> cluster.net.healAll();
      default -> {
        cluster.startControlPlane(node, false);
        nextFaultAtMs = cluster.timers.now() + (kind == Kind.WIPE ? CATCH_UP_MS : 0);
      }
    }
  }
}
