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
 * Two operators change the configuration while control-plane nodes are killed, frozen, cut off,
 * lose their power or a disk. What was acknowledged is never lost, no two are on top of the same
 * one, and no gateway ever sees one that isn't there in the end.
 */
class ConfigFaultScenarioTest {
  private static final int STORIES = 12;

  /** One call of an operator. */
  private record Sent(long basedOn, long version, CompletableFuture<SimpleHttpResponse> reply) {}

  private SimulatedCluster cluster;
  private Random random;
  private final List<Sent> open = new ArrayList<>();

  /** What each acknowledged edition was based on. */
  private final Map<Long, Long> acknowledged = new TreeMap<>();

  private final Set<Long> rejected = new HashSet<>();
  private final Set<Long> outcomeUnknown = new HashSet<>();
  private final Set<Long> seen = new HashSet<>();
  private final Map<String, Long> lastSeen = new HashMap<>();

  /** What each edition sent was based on. */
  private final Map<Long, Long> bases = new HashMap<>();

  private long numbers;
  private long current;

  @Test
  void acknowledgedConfigsSurviveRandomFaults() {
    int taken = 0;
    int refused = 0;
    for (int seed = 1; seed <= STORIES; seed++) {
      play(seed);
      taken += acknowledged.size();
      refused += rejected.size();
    }
    assertThat("acknowledged", taken, greaterThan(STORIES * 5));
    assertThat("lost races", refused, greaterThan(STORIES));
  }

  private void play(int seed) {
    cluster = new SimulatedCluster(seed, 3);
    random = new Random(seed);
    open.clear();
    acknowledged.clear();
    rejected.clear();
    outcomeUnknown.clear();
    seen.clear();
    lastSeen.clear();
    bases.clear();
    numbers = 0;
    current = 0;
    cluster.net.delay(1, 15);
    for (int i = 1; i <= 3; i++) {
      cluster.controlPlane("n" + i, true);
      cluster.timers.advance(random.nextInt(150));
    }
    cluster.gateway("c1");
    cluster.gateway("c2");
    String trouble = null;
    long troubleEnds = 0;
    for (int step = 0; step < 800; step++) {
      cluster.timers.advance(1 + random.nextInt(60));
      if (trouble == null && random.nextInt(80) == 0) {
        trouble = "n" + (1 + random.nextInt(3));
        begin(trouble);
        troubleEnds = cluster.timers.now() + 200 + random.nextInt(4_000);
      } else if (trouble != null && cluster.timers.now() >= troubleEnds) {
        end(trouble);
        trouble = null;
      }
      if (open.size() < 2 && random.nextInt(16) == 0) {
        send();
      }
      collectReplies(seed);
      checkGateways(seed);
    }
    if (trouble != null) {
      end(trouble);
    }
    cluster.timers.advance(6_000);
    collectReplies(seed);
    checkGateways(seed);
    finish(seed);
  }

  private int fault;

  private void begin(String name) {
    fault = random.nextInt(5);
    switch (fault) {
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

  private void end(String name) {
    if (fault <= 2) {
      cluster.controlPlane(name, false);
      // A disk is lost one at a time: the next only once this one has all copied.
      cluster.awaitWithin(fault == 2 ? 8_000 : 0, () -> cluster.read(name).startsWith("{"));
    } else if (fault == 3) {
      cluster.net.thaw(cluster.address(name));
    } else {
      cluster.net.healAll();
    }
  }

  private void send() {
    String to = "n" + (1 + random.nextInt(3));
    if (cluster.net.nodeAt(cluster.address(to)) == null
        || !cluster.net.nodeAt(cluster.address(to)).isAlive()
        || cluster.net.nodeAt(cluster.address(to)).isFrozen()) {
      return;
    }
    numbers += 1 + random.nextInt(3);
    bases.put(numbers, current);
    open.add(new Sent(current, numbers, cluster.sendReplace(to, String.valueOf(current), numbers)));
    if (random.nextBoolean()) {
      String other = "n" + (1 + random.nextInt(3));
      if (cluster.net.nodeAt(cluster.address(other)) != null
          && !cluster.net.nodeAt(cluster.address(other)).isFrozen()
          && cluster.net.nodeAt(cluster.address(other)).isAlive()) {
        numbers += 1 + random.nextInt(3);
        bases.put(numbers, current);
        open.add(
            new Sent(
                current, numbers, cluster.sendReplace(other, String.valueOf(current), numbers)));
      }
    }
  }

  private void collectReplies(int seed) {
    List<Sent> done = new ArrayList<>();
    for (Sent sent : open) {
      if (sent.reply().isDone() || cluster.timers.now() % 7 == 0 && random.nextInt(40) == 0) {
        done.add(sent);
      }
    }
    open.removeAll(done);
    for (Sent sent : done) {
      int status = sent.reply().isDone() ? sent.reply().join().status() : -1;
      if (status == 200) {
        Long other = sameBase(sent.basedOn());
        assertThat(
            "seed "
                + seed
                + ": two on top of "
                + sent.basedOn()
                + ": "
                + other
                + " and "
                + sent.version(),
            other == null,
            is(true));
        acknowledged.put(sent.version(), sent.basedOn());
        current = Math.max(current, sent.version());
      } else if (status == 412 || status == 400) {
        rejected.add(sent.version());
        refresh();
      } else {
        outcomeUnknown.add(sent.version());
        refresh();
      }
    }
  }

  private Long sameBase(long basedOn) {
    for (Map.Entry<Long, Long> one : acknowledged.entrySet()) {
      if (one.getValue() == basedOn) {
        return one.getKey();
      }
    }
    return null;
  }

  /** The operator takes what a gateway has as current, as an unclear one may have been taken. */
  private void refresh() {
    for (ConfigWatcher gateway : cluster.gateways.values()) {
      if (gateway.config() != null) {
        current = Math.max(current, gateway.config().version());
      }
    }
  }

  private void checkGateways(int seed) {
    for (Map.Entry<String, ConfigWatcher> gateway : cluster.gateways.entrySet()) {
      if (gateway.getValue().config() != null) {
        long edition = gateway.getValue().config().version();
        assertThat(
            "seed " + seed, edition >= lastSeen.getOrDefault(gateway.getKey(), 0L), is(true));
        lastSeen.put(gateway.getKey(), edition);
        seen.add(edition);
      }
    }
  }

  private void finish(int seed) {
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
      ConfigHistory editions = ConfigHistory.decode(controlPlaneNode.committedConfigBytes());
      if (SimulatedCluster.config(editions.version()).equals(read[0])) {
        value = controlPlaneNode.committedConfigBytes();
      }
    }
    ConfigHistory last = ConfigHistory.decode(value);
    assertThat("seed " + seed, read[0], is(SimulatedCluster.config(last.version())));
    assertThat("all are kept", last.changeCount() < ConfigHistory.MAX_CHANGES, is(true));
    for (long edition : acknowledged.keySet()) {
      assertThat("seed " + seed + ": lost " + edition, has(last, edition), is(true));
    }
    for (long edition : seen) {
      assertThat("seed " + seed + ": seen, not there " + edition, has(last, edition), is(true));
    }
    for (long edition : rejected) {
      assertThat(
          "seed " + seed + ": refused, yet there " + edition, has(last, edition), is(not(true)));
    }
  }

  private boolean has(ConfigHistory last, long edition) {
    byte[] sent = SimulatedCluster.config(edition).getBytes(StandardCharsets.UTF_8);
    long base = bases.get(edition);
    return last.statusOf(base, ConfigHistory.replacementDigest(base, sent))
        == ConfigChangeStatus.COMMITTED;
  }
}
