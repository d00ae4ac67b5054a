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
 * Keys are removed while control-plane nodes and gateways are killed, frozen, cut off or left with
 * a minority. No gateway admits a key later than {@code revoke_ms} after the acknowledgement of its
 * removal, and gateways in touch do not stop admitting the others.
 */
class RevokedKeyEverywhereTest {
  private static final int STORIES = Integer.getInteger("elmsail.revocation.stories", 8);
  private static final long FIRST_SEED = Long.getLong("elmsail.revocation.seed", 1);
  private static final int NODES = 5;
  private static final int GATEWAYS = 5;
  private static final long REVOKE_MS = 5_000;

  private SimulatedCluster cluster;
  private Random random;

  /** When each version was acknowledged. */
  private final TreeMap<Long, Long> acknowledgedAt = new TreeMap<>();

  /** Faults of processes and links, by what they befell, and when they end. */
  private final Map<String, Long> faultEnds = new LinkedHashMap<>();

  private final Map<String, RevocationBound> bounds = new TreeMap<>();
  private CompletableFuture<SimpleHttpResponse> openCall;

  /**
   * Moments at which a gateway had an outdated key and only the bound kept it from admitting it.
   */
  private long refusedOutdated;

  private long oldestConfirmationInCalm;

  @Test
  void noGatewayAdmitsAKeyLaterThanItsBound() {
    int changes = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + STORIES; seed++) {
      play(seed);
      changes += acknowledgedAt.size();
    }
    assertThat("acknowledged", changes, greaterThan(STORIES * 5));
    assertThat("refused by the bound alone", refusedOutdated, greaterThan(0L));
    assertThat("oldest in calm", oldestConfirmationInCalm, lessThan(REVOKE_MS - 1_000));
  }

  /**
   * A node loses the majority just before a key is removed, and answers a gateway that reaches no
   * other node while its last read is young enough; then it loses the gateway too.
   */
  @Test
  void nodeWithoutTheMajorityVouchesForNoMoreThanItsLastRead() {
    long admitted = 0;
    for (int cutAtMs = 0; cutAtMs < 1_000; cutAtMs += 50) {
      SimulatedCluster three = new SimulatedCluster(cutAtMs, 3);
      three.revokeMs = REVOKE_MS;
      for (int i = 1; i <= 3; i++) {
        three.controlPlane("n" + i, true);
      }
      three.gateway("c1");
      assertThat(three.replaceAnywhere(0, 1), is(200));
      three.timers.advance(3_000 + cutAtMs);
      for (String other : List.of("n2", "n3")) {
        three.net.cutBoth(three.address("n1"), three.address(other));
        three.net.cutBoth(three.address("c1"), three.address(other));
      }
      assertThat(three.replace("n2", 1, 2), is(200));
      long removedAtMs = three.timers.now();
      ConfigWatcher gateway = three.gateways.get("c1");
      RevocationBound bound = new RevocationBound(gateway, REVOKE_MS);
      for (long nowMs = removedAtMs; nowMs <= removedAtMs + 20_000; nowMs = three.timers.now()) {
        assertThat("has the key", gateway.config().version(), is(1L));
        if (bound.mayAdmitKeys()) {
          admitted++;
          assertThat("cut at " + cutAtMs, nowMs - removedAtMs, lessThanOrEqualTo(REVOKE_MS));
        }
        three.timers.advance(1);
      }
    }
    assertThat("admitted while that was allowed", admitted, greaterThan(20_000L));
  }

  private void play(long seed) {
    cluster = new SimulatedCluster(seed, NODES, 2);
    cluster.revokeMs = REVOKE_MS;
    random = new Random(seed);
    acknowledgedAt.clear();
    faultEnds.clear();
    bounds.clear();
    openCall = null;
    cluster.net.delay(1, 1 + random.nextInt(30));
    start();
    for (int step = 0; step < 1_200; step++) {
      cluster.timers.advance(1 + random.nextInt(50));
      endFaults();
      if (faultEnds.size() < 4 && random.nextInt(25) == 0) {
        beginFault();
      }
      if (random.nextInt(30) == 0) {
        sendChange();
      }
      checkGateways(seed);
    }
    calmDown(seed);
  }

  private void start() {
    for (int i = 1; i <= NODES; i++) {
      cluster.controlPlane("n" + i, true);
      if (random.nextBoolean()) {
        cluster.net.limitProcessor(cluster.address("n" + i), 0.72);
      }
    }
    for (int i = 1; i <= GATEWAYS; i++) {
      startGateway("c" + i);
      if (random.nextBoolean()) {
        cluster.net.limitProcessor(cluster.address("c" + i), 0.12);
      }
    }
    sendChange();
    cluster.timers.advance(2_000);
  }

  private void startGateway(String name) {
    cluster.gateway(name);
    bounds.put(name, new RevocationBound(cluster.gateways.get(name), REVOKE_MS));
  }

  /** The key of a version is removed by the next one. */
  private static String config(long version) {
    String config = SimulatedCluster.config(version);
    return config.substring(0, config.length() - 1)
        + ",\"senders\":[{\"name\":\"t\",\"passes\":[\"key-"
        + version
        + "\"]}]}";
  }

  private void sendChange() {
    if (openCall != null && !openCall.isDone()) {
      return;
    }
    long base = acknowledgedAt.isEmpty() ? 0 : acknowledgedAt.lastKey();
    // A change without a clear answer is sent again as it was.
    long version = base + 1;
    openCall =
        cluster.call(
            "n" + (1 + random.nextInt(NODES)),
            "POST",
            "/Timetable.Replace",
            String.valueOf(base),
            config(version));
    openCall.thenAccept(
        reply -> {
          if (reply.status() == 200) {
            acknowledgedAt.putIfAbsent(version, cluster.timers.now());
          }
        });
    cluster.timers.schedule(1_000, () -> openCall = null);
  }

  private void beginFault() {
    boolean atNode = random.nextInt(3) == 0;
    String name = atNode ? "n" + (1 + random.nextInt(NODES)) : "c" + (1 + random.nextInt(GATEWAYS));
    String kind =
        switch (random.nextInt(atNode ? 3 : 5)) {
          case 0 -> "kill";
          case 1 -> "freeze";
          case 2 -> "isolate";
          case 3 -> "some";
          default -> "deaf";
        };
    if (faultEnds.keySet().stream().anyMatch(fault -> fault.endsWith(" " + name))) {
      return;
    }
    String address = cluster.address(name);
    switch (kind) {
      case "kill" -> cluster.net.kill(address);
      case "freeze" -> cluster.net.freeze(address);
      case "isolate" -> cluster.net.isolate(address);
      default -> {
        int nodes = 1 + random.nextInt(NODES);
        for (int i = 1; i <= nodes; i++) {
          String node = cluster.address("n" + i);
          cluster.net.cut(node, address);
          if (kind.equals("some")) {
            cluster.net.cut(address, node);
          }
        }
      }
    }
    faultEnds.put(kind + " " + name, cluster.timers.now() + 200 + random.nextInt(9_000));
  }

  private void endFaults() {
    faultEnds
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
          cluster.controlPlane(name, false);
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

  /** Also while they are frozen: what they would do if they ran on at this moment. */
  private void checkGateways(long seed) {
    long nowMs = cluster.timers.now();
    bounds.forEach(
        (name, bound) -> {
          ConfigWatcher gateway = cluster.gateways.get(name);
          if (faultEnds.containsKey("kill " + name) || gateway.config() == null) {
            return;
          }
          acknowledgedAt.forEach(
              (version, at) -> {
                String removedKey = "key-" + (version - 1);
                if (nowMs - at > REVOKE_MS
                    && gateway.config().tenantByKey(removedKey).isPresent()) {
                  refusedOutdated++;
                  assertThat(
                      "seed " + seed + ": " + name + " admits " + removedKey + " at " + nowMs,
                      bound.mayAdmitKeys(),
                      is(false));
                }
              });
        });
  }

  /** All faults end; after some seconds every gateway admits keys at every moment. */
  private void calmDown(long seed) {
    for (String fault : faultEnds.keySet()) {
      endFault(fault);
    }
    faultEnds.clear();
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
            oldestConfirmationInCalm =
                Math.max(
                    oldestConfirmationInCalm, cluster.gateways.get(name).configConfirmedAgeMs());
            assertThat("seed " + seed + ": " + name + " admits", bound.mayAdmitKeys(), is(true));
          });
    }
  }
}
