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

/** One cut of the counted machines into two halves, with all that goes on around it. */
final class SplitPartitionScenario {
  /** How the machines are divided, by their place among all nodes and stores. */
  enum Halves {
    /** Nodes and stores by turns. */
    BY_TURNS,
    /** The first nodes and the last stores: the two majorities may lie on different sides. */
    CROSSED,
    /** The first nodes and the first stores. */
    IN_ORDER,
    DRAWN
  }

  /** What has begun shortly before the cut. */
  enum ConcurrentChange {
    NOTHING,
    STORE_JOINS,
    NODE_JOINS,
    RETIRE,
    WIPED_STORE_REJOINS,
    WIPED_NODE_REJOINS,
    NODE_FROZEN
  }

  /** The bound of the small sites. */
  private static final long RECOVER_MS = 12_000;

  private static final long GONE_MS = 3_000;

  /** So many orders are under way at once at most. */
  private static final int MAX_PENDING_CHANGES = 8;

  private static final int STEP_MS = 40;
  private static final int PAUSE_MS = 200;
  private static final int RACE_INTERVAL_MS = 300;
  private static final String DELIVERED = "{\"state\":\"delivered\"}";

  private final String name;
  private final SimulatedCluster cluster;
  private final Random random;
  private final Halves halves;
  private final ConcurrentChange concurrentChange;
  private final int nodes;
  private final int voters;
  private final ConfigChangeScenario changes;
  private final ConfigReadChecker reads;
  private final JobRecordWriter jobs;
  private final List<String> counted = new ArrayList<>();
  private final Set<String> lostMachines = new HashSet<>();
  private final Set<String> decommissioning = new HashSet<>();
  private final Set<String> delivered = new HashSet<>();
  private final Map<String, Long> holderOf = new HashMap<>();
  private final Map<String, CompletableFuture<SimpleHttpResponse>> pendingStateReads =
      new LinkedHashMap<>();
  private final Map<ConfigChangeScenario.ChangeRequest, Long> retryAtMs = new LinkedHashMap<>();
  private long number = 1;
  private final Set<String> notAcceptedYet = new LinkedHashSet<>();
  private final List<String> wrong = new ArrayList<>();
  private long nextRace;
  private long nextRetire;
  private int acknowledgedInTheCut;
  private int readsInTheCut;
  private long recoveredAfterMs;
  private long ackedAfterMs;

  SplitPartitionScenario(
      int seed, int nodes, int stores, int bear, Halves halves, ConcurrentChange underWay) {
    this.name = halves + ", " + underWay + ", seed " + seed;
    this.nodes = nodes;
    this.halves = halves;
    this.concurrentChange = underWay;
    voters = 2 * bear + 1;
    random = new Random(seed * 31L + halves.ordinal());
    cluster = new SimulatedCluster(seed, 3, bear);
    cluster.net.delay(1, 8);
    changes = new ConfigChangeScenario(name, cluster, random, nodes);
    reads = new ConfigReadChecker(name, changes);
    for (int i = 1; i <= nodes; i++) {
      counted.add("n" + i);
      cluster.controlPlane("n" + i, true);
    }
    for (int i = 1; i <= stores; i++) {
      counted.add("v" + i);
      cluster.store("v" + i, true);
    }
    jobs = new JobRecordWriter(name, cluster, random);
  }

  int acknowledgedInTheCut() {
    return acknowledgedInTheCut;
  }

  int readsAnsweredInTheCut() {
    return readsInTheCut;
  }

  int delivered() {
    return delivered.size();
  }

  long recoveredAfterMs() {
    return recoveredAfterMs;
  }

  long ackedAfterMs() {
    return ackedAfterMs;
  }

  void play() {
    assertThat(name + ": founded", cluster.awaitWithin(10_000, this::allVotersVote), is(true));
    assertThat(name, cluster.replaceAnywhere(0, 1), is(200));
    changes.sent.add(ConfigChangeScenario.replacement(0, 1, ""));
    changes.committed.add(ConfigChangeScenario.replacement(0, 1, ""));
    run(1_000);
    begin();
    int confirmed = changes.committed.size();
    int answered = reads.configsRead();
    split();
    run(1_000 + random.nextInt(2_000));
    requestDecommission(anyStore());
    run(2_000 + random.nextInt(6_000));
    acknowledgedInTheCut = changes.committed.size() - confirmed;
    readsInTheCut = reads.configsRead() - answered;
    heal();
    int before = changes.committed.size();
    long healedAt = cluster.timers.now();
    while (!allVotersVote() && cluster.timers.now() < healedAt + RECOVER_MS) {
      run(50);
    }
    assertThat(name + ": whole after the heal " + state(), allVotersVote(), is(true));
    recoveredAfterMs = cluster.timers.now() - healedAt;
    run(2_000);
    assertThat(
        name + ": orders after the heal " + state(), changes.committed.size() > before, is(true));
    end();
  }

  /** What is to be under way when the cut comes. */
  private void begin() {
    String store = holders().get(random.nextInt(voters));
    String node = "n" + (1 + random.nextInt(3));
    switch (concurrentChange) {
      case STORE_JOINS -> {
        lose(store);
        run(GONE_MS - 200 + random.nextInt(500));
      }
      case NODE_JOINS -> {
        lose(node);
        run(GONE_MS - 200 + random.nextInt(500));
      }
      case RETIRE -> {
        requestDecommission(store);
        run(random.nextInt(800));
      }
      case WIPED_STORE_REJOINS -> {
        cluster.wipe(store);
        run(500);
        cluster.store(store, false);
        run(random.nextInt(60));
      }
      case WIPED_NODE_REJOINS -> {
        cluster.wipe(node);
        run(500);
        cluster.controlPlane(node, false);
        run(random.nextInt(60));
      }
      case NODE_FROZEN -> cluster.net.freeze(cluster.address(node));
      default -> run(random.nextInt(500));
    }
  }

  private void lose(String machine) {
    cluster.net.kill(cluster.address(machine), false);
    lostMachines.add(machine);
    cluster.controlPlaneNodes.remove(machine);
    jobs.forget(machine);
  }

  private boolean firstHalf(String machine, Set<String> drawn) {
    int place = Integer.parseInt(machine.substring(1));
    boolean node = machine.startsWith("n");
    int half = (node ? nodes : counted.size() - nodes) / 2;
    return switch (halves) {
      case BY_TURNS -> place % 2 == 0;
      case CROSSED -> node == (place <= half);
      case IN_ORDER -> place <= half;
      case DRAWN -> drawn.contains(machine);
    };
  }

  private void split() {
    Set<String> drawn = new HashSet<>();
    for (String machine : counted) {
      if (random.nextBoolean()) {
        drawn.add(machine);
      }
    }
    for (String one : counted) {
      for (String other : counted) {
        if (firstHalf(one, drawn) && !firstHalf(other, drawn)) {
          cluster.net.cutBoth(cluster.address(one), cluster.address(other));
        }
      }
    }
  }

  private void heal() {
    cluster.net.healAll();
    for (int i = 1; i <= nodes; i++) {
      if (cluster.net.nodeAt(cluster.address("n" + i)) != null) {
        cluster.net.thaw(cluster.address("n" + i));
      }
    }
  }

  private String anyStore() {
    String store;
    do {
      store = counted.get(nodes + random.nextInt(counted.size() - nodes));
    } while (lostMachines.contains(store));
    return store;
  }

  /** To be asked at any node until one takes it. */
  private void requestDecommission(String store) {
    notAcceptedYet.add(store);
  }

  private void sendDecommissionRequests() {
    if (cluster.timers.now() < nextRetire) {
      return;
    }
    nextRetire = cluster.timers.now() + RACE_INTERVAL_MS;
    for (String store : List.copyOf(notAcceptedYet)) {
      String node = "n" + (1 + random.nextInt(nodes));
      SimNode there = cluster.net.nodeAt(cluster.address(node));
      if (lostMachines.contains(node) || there == null || there.isFrozen()) {
        continue;
      }
      cluster
          .call(node, "POST", "/Retire.Begin/" + store, null, "{\"over_s\":10}")
          .thenAccept(reply -> onDecommissionReply(store, reply.status()));
    }
  }

  private void onDecommissionReply(String store, int status) {
    if (status == 200) {
      notAcceptedYet.remove(store);
      decommissioning.add(store);
    } else if (status < 500 && status != 307) {
      wrong.add("Retire.Begin " + store + ": " + status);
    }
  }

  private void run(long ms) {
    long end = cluster.timers.now() + ms;
    while (cluster.timers.now() < end) {
      sendRacingChanges();
      reads.read("n" + (1 + random.nextInt(nodes)));
      jobs.step();
      sendDecommissionRequests();
      pollDecommissionStates();
      collectReplies();
      reads.check();
      check();
    }
  }

  private void collectReplies() {
    for (ConfigChangeScenario.ChangeRequest unclear : changes.collectReplies(STEP_MS)) {
      retryAtMs.put(unclear, cluster.timers.now() + PAUSE_MS + random.nextInt(PAUSE_MS));
    }
    for (Map.Entry<ConfigChangeScenario.ChangeRequest, Long> one :
        List.copyOf(retryAtMs.entrySet())) {
      if (one.getValue() <= cluster.timers.now()) {
        retryAtMs.remove(one.getKey());
        if (!changes.answered(one.getKey())) {
          changes.send(one.getKey());
        }
      }
    }
  }

  /** Two orders on the newest base at any two nodes, and some of those before them once more. */
  private void sendRacingChanges() {
    boolean many = changes.pending() + retryAtMs.size() + 2 > MAX_PENDING_CHANGES;
    if (many || cluster.timers.now() < nextRace) {
      return;
    }
    nextRace = cluster.timers.now() + RACE_INTERVAL_MS;
    long base = 0;
    for (ConfigChangeScenario.ChangeRequest request : changes.committed) {
      base = Math.max(base, request.number());
    }
    number = Math.max(number, base) + 1;
    changes.send(ConfigChangeScenario.replacement(base, number, "a"));
    changes.send(ConfigChangeScenario.replacement(base, number + random.nextInt(2), "b"));
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
            one -> {
              if (!one.getValue().isDone()) {
                return false;
              }
              SimpleHttpResponse reply = one.getValue().join();
              String store = one.getKey().split(" ")[1];
              assertThat(name + ": unknown: " + store, reply.status(), not(is(404)));
              if (DELIVERED.equals(new String(reply.body(), StandardCharsets.UTF_8))) {
                delivered.add(store);
              }
              return true;
            });
  }

  private void check() {
    for (Voter voter : jobs.newest().voters) {
      assertThat(name + ": delivered", delivered, not(hasItem(voter.machine)));
    }
    int leases = 0;
    for (Map.Entry<String, ControlPlaneNode> office : cluster.controlPlaneNodes.entrySet()) {
      boolean up = cluster.net.nodeAt(cluster.address(office.getKey())) != null;
      leases += up && office.getValue().leaseTerm() > 0 ? 1 : 0;
    }
    assertThat(name + ": leases", leases, lessThanOrEqualTo(1));
    for (Map.Entry<String, StoreNode> store : cluster.stores.entrySet()) {
      if (!store.getValue().replica().isVoting()) {
        continue;
      }
      List<Voter> slots = store.getValue().replica().voterSet().voters;
      for (int i = 0; i < slots.size(); i++) {
        Voter voter = slots.get(i);
        boolean itself = voter.machine.equals(store.getKey());
        if (itself) {
          Long before = holderOf.putIfAbsent(i + "/" + voter.epoch, voter.instanceId);
          assertThat(
              name + ": two hold slot " + i,
              before == null || before == voter.instanceId,
              is(true));
        }
      }
    }
  }

  private List<String> holders() {
    List<String> holders = new ArrayList<>();
    for (Voter voter : jobs.newest().voters) {
      holders.add(voter.machine);
    }
    return holders;
  }

  private boolean allVotersVote() {
    if (jobs.newest().voters.isEmpty()) {
      return false;
    }
    int voting = 0;
    for (Voter voter : jobs.newest().voters) {
      StoreNode store = cluster.stores.get(voter.machine);
      boolean there =
          cluster.net.nodeAt(voter.address) != null && !lostMachines.contains(voter.machine);
      boolean same = cluster.disks.get(voter.machine).instanceId() == voter.instanceId;
      voting += there && same && store.replica().isVoting() ? 1 : 0;
    }
    for (String node : cluster.controlPlaneNodes.keySet()) {
      if (!lostMachines.contains(node) && !cluster.allControlPlaneVotersVote(node)) {
        return false;
      }
    }
    return voting == voters;
  }

  private String state() {
    StringBuilder state =
        new StringBuilder("gone " + lostMachines + ", retired " + decommissioning);
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

  /** All that was asked to leave has left; all that was acknowledged is there. */
  private void end() {
    long end = cluster.timers.now() + RECOVER_MS;
    while (!(notAcceptedYet.isEmpty() && delivered.containsAll(decommissioning))
        && cluster.timers.now() < end) {
      run(100);
    }
    String leaving = name + ": asked " + decommissioning + ", delivered " + delivered + state();
    assertThat(
        leaving, notAcceptedYet.isEmpty() && delivered.containsAll(decommissioning), is(true));
    assertThat(name, wrong, is(empty()));
    jobs.readAll();
    changes.finish();
    assertThat(name, cluster.net.handlerFaults().isEmpty(), is(true));
  }
}
