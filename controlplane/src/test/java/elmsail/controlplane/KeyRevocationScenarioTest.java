package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import elmsail.config.RevocationBound;
import elmsail.config.watch.ConfigWatcher;
import elmsail.runtime.http.SimpleHttpResponse;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Keys are removed while control-plane nodes and gateways are killed, frozen, isolated or cut off
 * from some nodes. No gateway may admit a key later than {@code revoke_ms} after the
 * acknowledgement of its removal, and gateways in contact with the control plane must continue to
 * admit the other keys.
 */
class KeyRevocationScenarioTest {
  private static final int SEED_COUNT = Integer.getInteger("elmsail.revocation.stories", 8);
  private static final long FIRST_SEED = Long.getLong("elmsail.revocation.seed", 1);
  private static final int NODE_COUNT = 5;
  private static final int GATEWAY_COUNT = 5;
  private static final long REVOKE_MS = 5_000;

  private SimulatedCluster cluster;
  private Random random;

  /** The time at which each version was acknowledged. */
  private final TreeMap<Long, Long> acknowledgedAtMs = new TreeMap<>();

  /**
   * End times of the faults of processes and links, by the kind of fault and the name of the
   * process.
   */
  private final Map<String, Long> faultEndsAtMs = new LinkedHashMap<>();

  private final Map<String, RevocationBound> bounds = new TreeMap<>();
  private CompletableFuture<SimpleHttpResponse> pendingCall;

  /**
   * Number of checks at which a gateway still had a removed key and only the bound prevented its
   * admission.
   */
  private long outdatedKeysRejected;

  private long maxConfirmationAgeAfterFaultsMs;

  @Test
  void noGatewayAdmitsARevokedKeyAfterTheBound() {
    int changes = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
      runScenario(seed);
      changes += acknowledgedAtMs.size();
    }
    assertThat("acknowledged changes", changes, greaterThan(SEED_COUNT * 5));
    assertThat("removed keys rejected only by the bound", outdatedKeysRejected, greaterThan(0L));
    assertThat(
        "maximum age of a confirmation after all faults",
        maxConfirmationAgeAfterFaultsMs,
        lessThan(REVOKE_MS - 1_000));
  }

  /**
   * n1 loses contact with the majority just before a key is removed. The gateway reaches only n1,
   * which answers it while the last majority read of n1 is recent enough. The gateway must then
   * stop admitting the key within the bound.
   */
  @Test
  void partitionedNodeConfirmsNoMoreThanItsLastMajorityRead() {
    long admitted = 0;
    for (int cutAtMs = 0; cutAtMs < 1_000; cutAtMs += 50) {
      SimulatedCluster threeNodes = new SimulatedCluster(cutAtMs, 3);
      threeNodes.revokeMs = REVOKE_MS;
      for (int i = 1; i <= 3; i++) {
        threeNodes.startControlPlane("n" + i, true);
      }
      threeNodes.startGateway("c1");
      assertThat(threeNodes.replaceAnywhere(0, 1), is(200));
      threeNodes.timers.advance(3_000 + cutAtMs);
      for (String other : List.of("n2", "n3")) {
        threeNodes.net.cutBoth(threeNodes.address("n1"), threeNodes.address(other));
        threeNodes.net.cutBoth(threeNodes.address("c1"), threeNodes.address(other));
      }
      assertThat(threeNodes.replace("n2", 1, 2), is(200));
      long removedAtMs = threeNodes.timers.now();
      ConfigWatcher gateway = threeNodes.gateways.get("c1");
      RevocationBound bound = new RevocationBound(gateway, REVOKE_MS);
      for (long nowMs = removedAtMs;
          nowMs <= removedAtMs + 20_000;
          nowMs = threeNodes.timers.now()) {
        assertThat("the gateway still has the removed key", gateway.config().version(), is(1L));
        if (bound.mayAdmitKeys()) {
          admitted++;
          assertThat("cut at " + cutAtMs, nowMs - removedAtMs, lessThanOrEqualTo(REVOKE_MS));
        }
        threeNodes.timers.advance(1);
      }
    }
    assertThat(
        "checks at which the key was admitted within the bound", admitted, greaterThan(20_000L));
  }

  private void runScenario(long seed) {
    cluster = new SimulatedCluster(seed, NODE_COUNT, 2);
    cluster.revokeMs = REVOKE_MS;
    random = new Random(seed);
    acknowledgedAtMs.clear();
    faultEndsAtMs.clear();
    bounds.clear();
    pendingCall = null;
    cluster.net.delay(1, 1 + random.nextInt(30));
    start();
    for (int step = 0; step < 1_200; step++) {
      cluster.timers.advance(1 + random.nextInt(50));
      endFaults();
      if (faultEndsAtMs.size() < 4 && random.nextInt(25) == 0) {
        beginFault();
      }
      if (random.nextInt(30) == 0) {
        sendChange();
      }
      checkGateways(seed);
    }
    checkAfterFaults(seed);
  }

  private void start() {
    for (int i = 1; i <= NODE_COUNT; i++) {
      cluster.startControlPlane("n" + i, true);
      if (random.nextBoolean()) {
        cluster.net.limitProcessor(cluster.address("n" + i), 0.72);
      }
    }
    for (int i = 1; i <= GATEWAY_COUNT; i++) {
      startGateway("c" + i);
      if (random.nextBoolean()) {
        cluster.net.limitProcessor(cluster.address("c" + i), 0.12);
      }
    }
    sendChange();
    cluster.timers.advance(2_000);
  }

  private void startGateway(String name) {
    cluster.startGateway(name);
    bounds.put(name, new RevocationBound(cluster.gateways.get(name), REVOKE_MS));
  }

  /** A configuration with a key of its own, which the next version removes. */
  private static String config(long version) {
    String config = SimulatedCluster.config(version);
    return config.substring(0, config.length() - 1)
        + ",\"senders\":[{\"name\":\"t\",\"passes\":[\"key-"
        + version
        + "\"]}]}";
  }

  private void sendChange() {
    if (pendingCall != null && !pendingCall.isDone()) {
      return;
    }
    long base = acknowledgedAtMs.isEmpty() ? 0 : acknowledgedAtMs.lastKey();
    // A change of unknown outcome is sent again unchanged.
    long version = base + 1;
    pendingCall =
        cluster.call(
            "n" + (1 + random.nextInt(NODE_COUNT)),
            "POST",
            "/Timetable.Replace",
            String.valueOf(base),
            config(version));
    pendingCall.thenAccept(
        reply -> {
          if (reply.status() == 200) {
            acknowledgedAtMs.putIfAbsent(version, cluster.timers.now());
          }
        });
    cluster.timers.schedule(1_000, () -> pendingCall = null);
  }

  private void beginFault() {
    boolean isAtControlPlane = random.nextInt(3) == 0;
    String name =
        isAtControlPlane
            ? "n" + (1 + random.nextInt(NODE_COUNT))
            : "c" + (1 + random.nextInt(GATEWAY_COUNT));
    String kind =
        switch (random.nextInt(isAtControlPlane ? 3 : 5)) {
          case 0 -> "kill";
          case 1 -> "freeze";
          case 2 -> "isolate";
          case 3 -> "cut-both-ways";
          default -> "cut-inbound";
        };
    if (faultEndsAtMs.keySet().stream().anyMatch(fault -> fault.endsWith(" " + name))) {
      return;
    }
    String address = cluster.address(name);
    switch (kind) {
      case "kill" -> cluster.net.kill(address);
      case "freeze" -> cluster.net.freeze(address);
      case "isolate" -> cluster.net.isolate(address);
      default -> {
        int nodes = 1 + random.nextInt(NODE_COUNT);
        for (int i = 1; i <= nodes; i++) {
          String node = cluster.address("n" + i);
          cluster.net.cut(node, address);
          if (kind.equals("cut-both-ways")) {
            cluster.net.cut(address, node);
          }
        }
      }
    }
    faultEndsAtMs.put(kind + " " + name, cluster.timers.now() + 200 + random.nextInt(9_000));
  }

  private void endFaults() {
    faultEndsAtMs
        .entrySet()
        .removeIf(
            fault -> {
              boolean over = cluster.timers.now() >= fault.getValue();
              if (over) {
                endFault(fault.getKey());
              }
              return over;
            });
  }

  private void endFault(String fault) {
    String kind = fault.substring(0, fault.indexOf(' '));
    String name = fault.substring(fault.indexOf(' ') + 1);
    switch (kind) {
      case "kill" -> {
        if (name.startsWith("n")) {
          cluster.startControlPlane(name, false);
        } else {
          startGateway(name);
        }
      }
      case "freeze" -> cluster.net.thaw(cluster.address(name));
      default -> {
        for (String other : cluster.nodes.keySet()) {
          cluster.net.healBoth(cluster.address(name), cluster.address(other));
        }
      }
    }
  }

  /** Also checks frozen gateways: what they would admit if they resumed at this moment. */
  private void checkGateways(long seed) {
    long nowMs = cluster.timers.now();
    bounds.forEach(
        (name, bound) -> {
          ConfigWatcher gateway = cluster.gateways.get(name);
          if (faultEndsAtMs.containsKey("kill " + name) || gateway.config() == null) {
            return;
          }
          acknowledgedAtMs.forEach(
              (version, at) -> {
                String removedKey = "key-" + (version - 1);
                if (nowMs - at > REVOKE_MS
                    && gateway.config().tenantByKey(removedKey).isPresent()) {
                  outdatedKeysRejected++;
                  assertThat(
                      "seed " + seed + ": " + name + " admits " + removedKey + " at " + nowMs,
                      bound.mayAdmitKeys(),
                      is(false));
                }
              });
        });
  }

  /** Ends all faults; after 6 s every gateway must admit keys at every check. */
  private void checkAfterFaults(long seed) {
    for (String fault : faultEndsAtMs.keySet()) {
      endFault(fault);
    }
    faultEndsAtMs.clear();
    cluster.net.healAll();
    cluster.timers.advance(6_000);
    for (int i = 0; i < 2_000; i++) {
      cluster.timers.advance(3);
      if (i % 400 == 0) {
        sendChange();
      }
      checkGateways(seed);
      bounds.forEach(
          (name, bound) -> {
            maxConfirmationAgeAfterFaultsMs =
                Math.max(
                    maxConfirmationAgeAfterFaultsMs,
                    cluster.gateways.get(name).configConfirmedAgeMs());
            assertThat("seed " + seed + ": " + name + " admits", bound.mayAdmitKeys(), is(true));
          });
    }
  }
}
