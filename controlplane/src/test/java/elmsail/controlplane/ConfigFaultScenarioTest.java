package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import elmsail.config.watch.ConfigWatcher;
import elmsail.runtime.http.SimpleHttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Two operators change the configuration while control-plane nodes are killed, frozen or isolated,
 * or lose their power or a disk. No acknowledged change may be lost, no two changes may be
 * committed on the same base version, and no gateway may ever see a version that is missing from
 * the final history.
 */
class ConfigFaultScenarioTest {
  private static final int SEED_COUNT = 12;

  /** An operator's call that has no reply yet. */
  private record PendingChange(
      long baseVersion, long version, CompletableFuture<SimpleHttpResponse> reply) {}

  private SimulatedCluster cluster;
  private Random random;
  private final List<PendingChange> pendingChanges = new ArrayList<>();

  /** The base version of each acknowledged version. */
  private final Map<Long, Long> baseByAcknowledgedVersion = new TreeMap<>();

  private final Set<Long> rejected = new HashSet<>();
  private final Set<Long> outcomeUnknown = new HashSet<>();
  private final Set<Long> versionsSeenByGateways = new HashSet<>();
  private final Map<String, Long> lastVersionByGateway = new HashMap<>();

  /** The base version of each version that was sent. */
  private final Map<Long, Long> baseBySentVersion = new HashMap<>();

  private long lastSentVersion;
  private long currentVersion;

  @Test
  void acknowledgedConfigsSurviveRandomFaults() {
    int acknowledgedCount = 0;
    int rejectedCount = 0;
    for (int seed = 1; seed <= SEED_COUNT; seed++) {
      runScenario(seed);
      acknowledgedCount += baseByAcknowledgedVersion.size();
      rejectedCount += rejected.size();
    }
    assertThat("acknowledged changes", acknowledgedCount, greaterThan(SEED_COUNT * 5));
    assertThat("changes that lost a race", rejectedCount, greaterThan(SEED_COUNT));
  }

  private void runScenario(int seed) {
    cluster = new SimulatedCluster(seed, 3);
    random = new Random(seed);
    pendingChanges.clear();
    baseByAcknowledgedVersion.clear();
    rejected.clear();
    outcomeUnknown.clear();
    versionsSeenByGateways.clear();
    lastVersionByGateway.clear();
    baseBySentVersion.clear();
    lastSentVersion = 0;
    currentVersion = 0;
    cluster.net.delay(1, 15);
    for (int i = 1; i <= 3; i++) {
      cluster.startControlPlane("n" + i, true);
      cluster.timers.advance(random.nextInt(150));
    }
    cluster.startGateway("c1");
    cluster.startGateway("c2");
    String faultyNode = null;
    long faultEndsAtMs = 0;
    for (int step = 0; step < 800; step++) {
      cluster.timers.advance(1 + random.nextInt(60));
      if (faultyNode == null && random.nextInt(80) == 0) {
        faultyNode = "n" + (1 + random.nextInt(3));
        beginFault(faultyNode);
        faultEndsAtMs = cluster.timers.now() + 200 + random.nextInt(4_000);
      } else if (faultyNode != null && cluster.timers.now() >= faultEndsAtMs) {
        endFault(faultyNode);
        faultyNode = null;
      }
      if (pendingChanges.size() < 2 && random.nextInt(16) == 0) {
        sendChanges();
      }
      collectReplies(seed);
      checkGateways(seed);
    }
    if (faultyNode != null) {
      endFault(faultyNode);
    }
    cluster.timers.advance(6_000);
    collectReplies(seed);
    checkGateways(seed);
    checkHistory(seed);
  }

  private int faultKind;

  private void beginFault(String name) {
    faultKind = random.nextInt(5);
    switch (faultKind) {
      case 0 -> cluster.kill(name);
      case 1 -> {
        cluster.net.kill(cluster.address(name), false);
        cluster.disks.get(name).powerLoss();
      }
      case 2 -> cluster.wipe(name);
      case 3 -> cluster.net.freeze(cluster.address(name));
      default -> cluster.net.isolate(cluster.address(name));
    }
  }

  private void endFault(String name) {
    if (faultKind <= 2) {
      cluster.startControlPlane(name, false);
      // Only one disk is lost at a time: the next one only once this node has copied all records.
      cluster.awaitWithin(faultKind == 2 ? 8_000 : 0, () -> cluster.read(name).startsWith("{"));
    } else if (faultKind == 3) {
      cluster.net.thaw(cluster.address(name));
    } else {
      cluster.net.healAll();
    }
  }

  private void sendChanges() {
    String node = "n" + (1 + random.nextInt(3));
    if (cluster.net.nodeAt(cluster.address(node)) == null
        || !cluster.net.nodeAt(cluster.address(node)).isAlive()
        || cluster.net.nodeAt(cluster.address(node)).isFrozen()) {
      return;
    }
    lastSentVersion += 1 + random.nextInt(3);
    baseBySentVersion.put(lastSentVersion, currentVersion);
    pendingChanges.add(
        new PendingChange(
            currentVersion,
            lastSentVersion,
            cluster.sendReplace(node, String.valueOf(currentVersion), lastSentVersion)));
    if (random.nextBoolean()) {
      String otherNode = "n" + (1 + random.nextInt(3));
      if (cluster.net.nodeAt(cluster.address(otherNode)) != null
          && !cluster.net.nodeAt(cluster.address(otherNode)).isFrozen()
          && cluster.net.nodeAt(cluster.address(otherNode)).isAlive()) {
        lastSentVersion += 1 + random.nextInt(3);
        baseBySentVersion.put(lastSentVersion, currentVersion);
        pendingChanges.add(
            new PendingChange(
                currentVersion,
                lastSentVersion,
                cluster.sendReplace(otherNode, String.valueOf(currentVersion), lastSentVersion)));
      }
    }
  }

  private void collectReplies(int seed) {
    List<PendingChange> done = new ArrayList<>();
    for (PendingChange sent : pendingChanges) {
      if (sent.reply().isDone() || cluster.timers.now() % 7 == 0 && random.nextInt(40) == 0) {
        done.add(sent);
      }
    }
    pendingChanges.removeAll(done);
    for (PendingChange sent : done) {
      int status = sent.reply().isDone() ? sent.reply().join().status() : -1;
      if (status == 200) {
        Long other = acknowledgedVersionOnBase(sent.baseVersion());
        assertThat(
            "seed "
                + seed
                + ": two changes committed on base version "
                + sent.baseVersion()
                + ": "
                + other
                + " and "
                + sent.version(),
            other == null,
            is(true));
        baseByAcknowledgedVersion.put(sent.version(), sent.baseVersion());
        currentVersion = Math.max(currentVersion, sent.version());
      } else if (status == 412 || status == 400) {
        rejected.add(sent.version());
        adoptGatewayVersion();
      } else {
        outcomeUnknown.add(sent.version());
        adoptGatewayVersion();
      }
    }
  }

  private Long acknowledgedVersionOnBase(long baseVersion) {
    for (Map.Entry<Long, Long> acknowledged : baseByAcknowledgedVersion.entrySet()) {
      if (acknowledged.getValue() == baseVersion) {
        return acknowledged.getKey();
      }
    }
    return null;
  }

  /**
   * Adopts the newest version of the gateways, because a change of unknown outcome may have been
   * committed.
   */
  private void adoptGatewayVersion() {
    for (ConfigWatcher gateway : cluster.gateways.values()) {
      if (gateway.config() != null) {
        currentVersion = Math.max(currentVersion, gateway.config().version());
      }
    }
  }

  private void checkGateways(int seed) {
    for (Map.Entry<String, ConfigWatcher> gateway : cluster.gateways.entrySet()) {
      if (gateway.getValue().config() != null) {
        long version = gateway.getValue().config().version();
        assertThat(
            "seed " + seed,
            version >= lastVersionByGateway.getOrDefault(gateway.getKey(), 0L),
            is(true));
        lastVersionByGateway.put(gateway.getKey(), version);
        versionsSeenByGateways.add(version);
      }
    }
  }

  private void checkHistory(int seed) {
    String[] read = {""};
    assertThat(
        "seed " + seed,
        cluster.awaitWithin(
            5_000,
            () -> {
              read[0] = cluster.read("n" + (1 + random.nextInt(3)));
              return read[0].startsWith("{");
            }),
        is(true));
    byte[] value = null;
    for (ControlPlaneNode controlPlaneNode : cluster.controlPlaneNodes.values()) {
      ConfigHistory history = ConfigHistory.decode(controlPlaneNode.committedConfigBytes());
      if (SimulatedCluster.config(history.version()).equals(read[0])) {
        value = controlPlaneNode.committedConfigBytes();
      }
    }
    ConfigHistory history = ConfigHistory.decode(value);
    assertThat("seed " + seed, read[0], is(SimulatedCluster.config(history.version())));
    assertThat(
        "the history still holds all changes",
        history.changeCount() < ConfigHistory.MAX_CHANGES,
        is(true));
    for (long version : baseByAcknowledgedVersion.keySet()) {
      assertThat(
          "seed " + seed + ": acknowledged, but not in the history: " + version,
          isInHistory(history, version),
          is(true));
    }
    for (long version : versionsSeenByGateways) {
      assertThat(
          "seed " + seed + ": seen by a gateway, but not in the history: " + version,
          isInHistory(history, version),
          is(true));
    }
    for (long version : rejected) {
      assertThat(
          "seed " + seed + ": rejected, but in the history: " + version,
          isInHistory(history, version),
          is(not(true)));
    }
  }

  private boolean isInHistory(ConfigHistory history, long version) {
    byte[] sent = SimulatedCluster.config(version).getBytes(StandardCharsets.UTF_8);
    long baseVersion = baseBySentVersion.get(version);
    return history.statusOf(baseVersion, ConfigHistory.replacementDigest(baseVersion, sent))
        == ConfigChangeStatus.COMMITTED;
  }
}
