package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import elmsail.rpc.messages.Voter;
import elmsail.runtime.http.SimpleHttpResponse;
import elmsail.simulation.SimNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * One partition of the control-plane nodes and stores into two halves, with changes, reads, job
 * writes and decommissionings before, during and after it.
 */
final class SplitPartitionScenario {
  /** How the machines are divided, by their numbers. */
  enum Split {
    /** Even-numbered nodes and stores against odd-numbered ones. */
    ALTERNATING,
    /** The first nodes and the last stores: the two majorities may lie on different sides. */
    CROSSED,
    /** The first nodes and the first stores. */
    IN_ORDER,
    RANDOM
  }

  /** The change that begins shortly before the partition. */
  enum ConcurrentChange {
    NOTHING,
    STORE_JOINS,
    NODE_JOINS,
    STORE_DECOMMISSIONED,
    WIPED_STORE_REJOINS,
    WIPED_NODE_REJOINS,
    NODE_FROZEN
  }

  /** The recovery time allowed on the small sites. */
  private static final long MAX_RECOVERY_MS = 12_000;

  private static final long LOST_AFTER_MS = 3_000;

  /** The maximum number of changes in flight. */
  private static final int MAX_PENDING_CHANGES = 8;

  private static final int STEP_MS = 40;
  private static final int RETRY_DELAY_MS = 200;
  private static final int SEND_INTERVAL_MS = 300;
  private static final String DELIVERED = "{\"state\":\"delivered\"}";

  private final String scenario;
  private final SimulatedCluster cluster;
  private final Random random;
  private final Split split;
  private final ConcurrentChange concurrentChange;
  private final int nodeCount;
  private final int voterCount;
  private final ConfigChangeScenario changes;
  private final ConfigReadChecker reads;
  private final JobRecordWriter jobs;
  private final List<String> machines = new ArrayList<>();
  private final Set<String> lostMachines = new HashSet<>();
  private final Set<String> decommissioning = new HashSet<>();
  private final Set<String> storesReportedAsDecommissioned = new HashSet<>();
  private final Map<String, Long> instanceBySlotAndEpoch = new HashMap<>();
  private final Map<String, CompletableFuture<SimpleHttpResponse>> pendingStateReads =
      new LinkedHashMap<>();
  private final Map<ConfigChangeScenario.ChangeRequest, Long> retryAtMs = new LinkedHashMap<>();
  private long lastVersion = 1;
  private final Set<String> unacceptedDecommissions = new LinkedHashSet<>();
  private final List<String> unexpectedReplies = new ArrayList<>();
  private long nextChangesAtMs;
  private long nextDecommissionAtMs;
  private int acknowledgedDuringSplit;
  private int readsDuringSplit;
  private long recoveredAfterMs;
  private long acknowledgedAfterMs;

  SplitPartitionScenario(
      int seed,
      int nodeCount,
      int storeCount,
      int toleratedLosses,
      Split split,
      ConcurrentChange concurrentChange) {
    this.scenario = split + ", " + concurrentChange + ", seed " + seed;
    this.nodeCount = nodeCount;
    this.split = split;
    this.concurrentChange = concurrentChange;
    voterCount = 2 * toleratedLosses + 1;
    random = new Random(seed * 31L + split.ordinal());
    cluster = new SimulatedCluster(seed, 3, toleratedLosses);
    cluster.net.delay(1, 8);
    changes = new ConfigChangeScenario(scenario, cluster, random, nodeCount);
    reads = new ConfigReadChecker(scenario, changes);
    for (int i = 1; i <= nodeCount; i++) {
      machines.add("n" + i);
      cluster.startControlPlane("n" + i, true);
    }
    for (int i = 1; i <= storeCount; i++) {
      machines.add("v" + i);
      cluster.startStore("v" + i, true);
    }
    jobs = new JobRecordWriter(scenario, cluster, random);
  }

  int acknowledgedDuringSplit() {
    return acknowledgedDuringSplit;
  }

  int readsAnsweredDuringSplit() {
    return readsDuringSplit;
  }

  int storesReportedAsDecommissioned() {
    return storesReportedAsDecommissioned.size();
  }

  long recoveredAfterMs() {
    return recoveredAfterMs;
  }

  long acknowledgedAfterMs() {
    return acknowledgedAfterMs;
  }

  void runScenario() {
    assertThat(
        scenario + ": all initial voters vote",
        cluster.awaitWithin(10_000, this::allVotersVote),
        is(true));
    assertThat(scenario, cluster.replaceAnywhere(0, 1), is(200));
    changes.sent.add(ConfigChangeScenario.replacement(0, 1, ""));
    changes.committed.add(ConfigChangeScenario.replacement(0, 1, ""));
    runFor(1_000);
    beginConcurrentChange();
    int committedBeforeSplit = changes.committed.size();
    int readsBeforeSplit = reads.configsRead();
    partition();
    runFor(1_000 + random.nextInt(2_000));
    requestDecommission(randomRunningStore());
    runFor(2_000 + random.nextInt(6_000));
    acknowledgedDuringSplit = changes.committed.size() - committedBeforeSplit;
    readsDuringSplit = reads.configsRead() - readsBeforeSplit;
    heal();
    int committedBeforeHeal = changes.committed.size();
    long healedAtMs = cluster.timers.now();
    while (!allVotersVote() && cluster.timers.now() < healedAtMs + MAX_RECOVERY_MS) {
      runFor(50);
    }
    assertThat(
        scenario + ": all voters vote after the heal " + describeState(),
        allVotersVote(),
        is(true));
    recoveredAfterMs = cluster.timers.now() - healedAtMs;
    runFor(2_000);
    assertThat(
        scenario + ": changes committed after the heal " + describeState(),
        changes.committed.size() > committedBeforeHeal,
        is(true));
    finish();
  }

  /** Begins the change that is to be in progress when the partition starts. */
  private void beginConcurrentChange() {
    String store = jobStoreVoterMachines().get(random.nextInt(voterCount));
    String node = "n" + (1 + random.nextInt(3));
    switch (concurrentChange) {
      case STORE_JOINS -> {
        lose(store);
        runFor(LOST_AFTER_MS - 200 + random.nextInt(500));
      }
      case NODE_JOINS -> {
        lose(node);
        runFor(LOST_AFTER_MS - 200 + random.nextInt(500));
      }
      case STORE_DECOMMISSIONED -> {
        requestDecommission(store);
        runFor(random.nextInt(800));
      }
      case WIPED_STORE_REJOINS -> {
        cluster.wipe(store);
        runFor(500);
        cluster.startStore(store, false);
        runFor(random.nextInt(60));
      }
      case WIPED_NODE_REJOINS -> {
        cluster.wipe(node);
        runFor(500);
        cluster.startControlPlane(node, false);
        runFor(random.nextInt(60));
      }
      case NODE_FROZEN -> cluster.net.freeze(cluster.address(node));
      default -> runFor(random.nextInt(500));
    }
  }

  private void lose(String machine) {
    cluster.net.kill(cluster.address(machine), false);
    lostMachines.add(machine);
    cluster.controlPlaneNodes.remove(machine);
    jobs.ignoreStore(machine);
  }

  private boolean isInFirstHalf(String machine, Set<String> randomHalf) {
    int index = Integer.parseInt(machine.substring(1));
    boolean isControlPlane = machine.startsWith("n");
    int halfCount = (isControlPlane ? nodeCount : machines.size() - nodeCount) / 2;
    return switch (split) {
      case ALTERNATING -> index % 2 == 0;
      case CROSSED -> isControlPlane == (index <= halfCount);
      case IN_ORDER -> index <= halfCount;
      case RANDOM -> randomHalf.contains(machine);
    };
  }

  private void partition() {
    Set<String> randomHalf = new HashSet<>();
    for (String machine : machines) {
      if (random.nextBoolean()) {
        randomHalf.add(machine);
      }
    }
    for (String one : machines) {
      for (String other : machines) {
        if (isInFirstHalf(one, randomHalf) && !isInFirstHalf(other, randomHalf)) {
          cluster.net.cutBoth(cluster.address(one), cluster.address(other));
        }
      }
    }
  }

  private void heal() {
    cluster.net.healAll();
    for (int i = 1; i <= nodeCount; i++) {
      if (cluster.net.nodeAt(cluster.address("n" + i)) != null) {
        cluster.net.thaw(cluster.address("n" + i));
      }
    }
  }

  private String randomRunningStore() {
    String store;
    do {
      store = machines.get(nodeCount + random.nextInt(machines.size() - nodeCount));
    } while (lostMachines.contains(store));
    return store;
  }

  /** Registers a decommissioning, to be sent to random nodes until one accepts it. */
  private void requestDecommission(String store) {
    unacceptedDecommissions.add(store);
  }

  private void sendDecommissionRequests() {
    if (cluster.timers.now() < nextDecommissionAtMs) {
      return;
    }
    nextDecommissionAtMs = cluster.timers.now() + SEND_INTERVAL_MS;
    for (String store : List.copyOf(unacceptedDecommissions)) {
      String node = "n" + (1 + random.nextInt(nodeCount));
      SimNode simNode = cluster.net.nodeAt(cluster.address(node));
      if (lostMachines.contains(node) || simNode == null || simNode.isFrozen()) {
        continue;
      }
      cluster
          .call(node, "POST", "/Retire.Begin/" + store, null, "{\"over_s\":10}")
          .thenAccept(reply -> onDecommissionReply(store, reply.status()));
    }
  }

  private void onDecommissionReply(String store, int status) {
    if (status == 200) {
      unacceptedDecommissions.remove(store);
      decommissioning.add(store);
    } else if (status < 500 && status != 307) {
      unexpectedReplies.add("Retire.Begin " + store + ": " + status);
    }
  }

  private void runFor(long ms) {
    long endMs = cluster.timers.now() + ms;
    while (cluster.timers.now() < endMs) {
      sendRacingChanges();
      reads.read("n" + (1 + random.nextInt(nodeCount)));
      jobs.step();
      sendDecommissionRequests();
      pollDecommissionStates();
      collectReplies();
      reads.checkReplies();
      checkInvariants();
    }
  }

  private void collectReplies() {
    for (ConfigChangeScenario.ChangeRequest unresolved : changes.collectReplies(STEP_MS)) {
      retryAtMs.put(
          unresolved, cluster.timers.now() + RETRY_DELAY_MS + random.nextInt(RETRY_DELAY_MS));
    }
    for (Map.Entry<ConfigChangeScenario.ChangeRequest, Long> retry :
        List.copyOf(retryAtMs.entrySet())) {
      if (retry.getValue() <= cluster.timers.now()) {
        retryAtMs.remove(retry.getKey());
        if (!changes.hasFinalReply(retry.getKey())) {
          changes.send(retry.getKey());
        }
      }
    }
  }

  /**
   * Sends two changes on the newest base version to random nodes, and sometimes repeats an earlier
   * change.
   */
  private void sendRacingChanges() {
    boolean isLimitReached = changes.pendingCount() + retryAtMs.size() + 2 > MAX_PENDING_CHANGES;
    if (isLimitReached || cluster.timers.now() < nextChangesAtMs) {
      return;
    }
    nextChangesAtMs = cluster.timers.now() + SEND_INTERVAL_MS;
    long baseVersion = 0;
    for (ConfigChangeScenario.ChangeRequest request : changes.committed) {
      baseVersion = Math.max(baseVersion, request.version());
    }
    lastVersion = Math.max(lastVersion, baseVersion) + 1;
    changes.send(ConfigChangeScenario.replacement(baseVersion, lastVersion, "a"));
    changes.send(
        ConfigChangeScenario.replacement(baseVersion, lastVersion + random.nextInt(2), "b"));
    if (random.nextInt(4) == 0) {
      List<ConfigChangeScenario.ChangeRequest> earlier = new ArrayList<>(changes.sent);
      changes.send(earlier.get(Math.max(0, earlier.size() - 1 - random.nextInt(8))));
    }
  }

  private void pollDecommissionStates() {
    for (String node : cluster.controlPlaneNodes.keySet()) {
      for (String store : decommissioning) {
        String key = node + " " + store;
        if (cluster.net.nodeAt(cluster.address(node)) != null
            && !pendingStateReads.containsKey(key)) {
          pendingStateReads.put(key, cluster.call(node, "GET", "/Retire.Read/" + store, null, ""));
        }
      }
    }
    pendingStateReads
        .entrySet()
        .removeIf(
            pendingRead -> {
              if (!pendingRead.getValue().isDone()) {
                return false;
              }
              SimpleHttpResponse reply = pendingRead.getValue().join();
              String store = pendingRead.getKey().split(" ")[1];
              assertThat(
                  scenario + ": decommissioned store is unknown: " + store,
                  reply.status(),
                  not(is(404)));
              if (DELIVERED.equals(new String(reply.body(), StandardCharsets.UTF_8))) {
                storesReportedAsDecommissioned.add(store);
              }
              return true;
            });
  }

  private void checkInvariants() {
    for (Voter voter : jobs.newestVoterSet().voters) {
      assertThat(
          scenario + ": stores reported as decommissioned that still hold a slot",
          storesReportedAsDecommissioned,
          not(hasItem(voter.machine)));
    }
    int leases = 0;
    for (Map.Entry<String, ControlPlaneNode> node : cluster.controlPlaneNodes.entrySet()) {
      boolean isRunning = cluster.net.nodeAt(cluster.address(node.getKey())) != null;
      leases += isRunning && node.getValue().leaseTerm() > 0 ? 1 : 0;
    }
    assertThat(scenario + ": lease holders", leases, lessThanOrEqualTo(1));
    for (Map.Entry<String, StoreNode> store : cluster.stores.entrySet()) {
      if (!store.getValue().replica().isVoting()) {
        continue;
      }
      List<Voter> slots = store.getValue().replica().voterSet().voters;
      for (int i = 0; i < slots.size(); i++) {
        Voter voter = slots.get(i);
        boolean holdsSlot = voter.machine.equals(store.getKey());
        if (holdsSlot) {
          Long previousInstanceId =
              instanceBySlotAndEpoch.putIfAbsent(i + "/" + voter.epoch, voter.instanceId);
          assertThat(
              scenario + ": two instances hold slot " + i,
              previousInstanceId == null || previousInstanceId == voter.instanceId,
              is(true));
        }
      }
    }
  }

  private List<String> jobStoreVoterMachines() {
    List<String> machines = new ArrayList<>();
    for (Voter voter : jobs.newestVoterSet().voters) {
      machines.add(voter.machine);
    }
    return machines;
  }

  private boolean allVotersVote() {
    if (jobs.newestVoterSet().voters.isEmpty()) {
      return false;
    }
    int voting = 0;
    for (Voter voter : jobs.newestVoterSet().voters) {
      StoreNode store = cluster.stores.get(voter.machine);
      boolean isRunning =
          cluster.net.nodeAt(voter.address) != null && !lostMachines.contains(voter.machine);
      boolean isSameInstance = cluster.disks.get(voter.machine).instanceId() == voter.instanceId;
      voting += isRunning && isSameInstance && store.replica().isVoting() ? 1 : 0;
    }
    for (String node : cluster.controlPlaneNodes.keySet()) {
      if (!lostMachines.contains(node) && !cluster.allControlPlaneVotersVote(node)) {
        return false;
      }
    }
    return voting == voterCount;
  }

  private String describeState() {
    StringBuilder state =
        new StringBuilder("lost " + lostMachines + ", decommissioning " + decommissioning);
    for (String node : cluster.controlPlaneNodes.keySet()) {
      state.append("; ").append(node).append(' ');
      for (Voter voter : cluster.controlPlaneVoters(node).voters) {
        state.append(voter.machine).append('/').append(voter.epoch).append(' ');
      }
      state.append(cluster.controlPlaneNodes.get(node).voters().isVoting() ? "votes" : "");
    }
    for (String store : cluster.stores.keySet()) {
      state
          .append("; ")
          .append(store)
          .append(" [")
          .append(cluster.describeJobStoreVoters(store))
          .append(']');
    }
    return state.toString();
  }

  /**
   * Asserts that all stores to decommission are reported as decommissioned and that no acknowledged
   * state is lost.
   */
  private void finish() {
    long deadlineMs = cluster.timers.now() + MAX_RECOVERY_MS;
    while (!(unacceptedDecommissions.isEmpty()
            && storesReportedAsDecommissioned.containsAll(decommissioning))
        && cluster.timers.now() < deadlineMs) {
      runFor(100);
    }
    String leaving =
        scenario
            + ": decommissioning "
            + decommissioning
            + ", reported as decommissioned "
            + storesReportedAsDecommissioned
            + describeState();
    assertThat(
        leaving,
        unacceptedDecommissions.isEmpty()
            && storesReportedAsDecommissioned.containsAll(decommissioning),
        is(true));
    assertThat(scenario, unexpectedReplies, is(empty()));
    jobs.assertAllJobsReadable();
    changes.assertHistoryMatchesReplies();
    assertThat(scenario, cluster.net.handlerFaults().isEmpty(), is(true));
  }
}
