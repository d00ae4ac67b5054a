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

  private static final int LOOK_MS = 40;
  private static final int PAUSE_MS = 200;
  private static final int RACE_EVERY_MS = 300;
  private static final String DELIVERED = "{\"state\":\"delivered\"}";

  private final String name;
  private final SimulatedCluster cluster;
  private final Random random;
  private final Halves halves;
  private final ConcurrentChange underWay;
  private final int nodes;
  private final int voters;
  private final ConfigChangeScenario orders;
  private final ConfigReadChecker reads;
  private final JobRecordWriter jobs;
  private final List<String> counted = new ArrayList<>();
  private final Set<String> gone = new HashSet<>();
  private final Set<String> retired = new HashSet<>();
  private final Set<String> delivered = new HashSet<>();
  private final Map<String, Long> holderOf = new HashMap<>();
  private final Map<String, CompletableFuture<SimpleHttpResponse>> asked = new LinkedHashMap<>();
  private final Map<ConfigChangeScenario.ChangeRequest, Long> again = new LinkedHashMap<>();
  private long number = 1;
  private final Set<String> unasked = new LinkedHashSet<>();
  private final List<String> wrong = new ArrayList<>();
  private long nextRace;
  private long nextRetire;
  private int acknowledgedInTheCut;
  private int readsInTheCut;
  private long wholeAfterMs;
  private long ackedAfterMs;

  SplitPartitionScenario(
      int seed, int nodes, int stores, int bear, Halves halves, ConcurrentChange underWay) {
    this.name = halves + ", " + underWay + ", seed " + seed;
    this.nodes = nodes;
    this.halves = halves;
    this.underWay = underWay;
    voters = 2 * bear + 1;
    random = new Random(seed * 31L + halves.ordinal());
    cluster = new SimulatedCluster(seed, 3, bear);
    cluster.net.delay(1, 8);
    orders = new ConfigChangeScenario(name, cluster, random, nodes);
    reads = new ConfigReadChecker(name, orders);
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

  long wholeAfterMs() {
    return wholeAfterMs;
  }

  long ackedAfterMs() {
    return ackedAfterMs;
  }

  void play() {
    assertThat(name + ": founded", cluster.awaitWithin(10_000, this::whole), is(true));
    assertThat(name, cluster.replaceAnywhere(0, 1), is(200));
    orders.sent.add(ConfigChangeScenario.replacement(0, 1, ""));
    orders.committed.add(ConfigChangeScenario.replacement(0, 1, ""));
    run(1_000);
    begin();
    int confirmed = orders.committed.size();
    int answered = reads.configsRead();
    split();
    run(1_000 + random.nextInt(2_000));
    retire(anyStore());
    run(2_000 + random.nextInt(6_000));
    acknowledgedInTheCut = orders.committed.size() - confirmed;
    readsInTheCut = reads.configsRead() - answered;
    heal();
    int before = orders.committed.size();
    long healedAt = cluster.timers.now();
    while (!whole() && cluster.timers.now() < healedAt + RECOVER_MS) {
      run(50);
    }
    assertThat(name + ": whole after the heal " + state(), whole(), is(true));
    wholeAfterMs = cluster.timers.now() - healedAt;
    run(2_000);
    assertThat(
        name + ": orders after the heal " + state(), orders.committed.size() > before, is(true));
    end();
  }

  /** What is to be under way when the cut comes. */
  private void begin() {
    String store = holders().get(random.nextInt(voters));
    String node = "n" + (1 + random.nextInt(3));
    switch (underWay) {
      case STORE_JOINS -> {
        lose(store);
        run(GONE_MS - 200 + random.nextInt(500));
      }
      case NODE_JOINS -> {
        lose(node);
        run(GONE_MS - 200 + random.nextInt(500));
      }
      case RETIRE -> {
        retire(store);
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
    gone.add(machine);
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
    } while (gone.contains(store));
    return store;
  }

  /** To be asked at any node until one takes it. */
  private void retire(String store) {
    unasked.add(store);
  }

  private void askToRetire() {
    if (cluster.timers.now() < nextRetire) {
      return;
    }
    nextRetire = cluster.timers.now() + RACE_EVERY_MS;
    for (String store : List.copyOf(unasked)) {
      String node = "n" + (1 + random.nextInt(nodes));
      SimNode there = cluster.net.nodeAt(cluster.address(node));
      if (gone.contains(node) || there == null || there.isFrozen()) {
        continue;
      }
      cluster
          .call(node, "POST", "/Retire.Begin/" + store, null, "{\"over_s\":10}")
          .thenAccept(reply -> retireAnswered(store, reply.status()));
    }
  }

  private void retireAnswered(String store, int status) {
    if (status == 200) {
      unasked.remove(store);
      retired.add(store);
    } else if (status < 500 && status != 307) {
      wrong.add("Retire.Begin " + store + ": " + status);
    }
  }

  private void run(long ms) {
    long end = cluster.timers.now() + ms;
    while (cluster.timers.now() < end) {
      race();
      reads.read("n" + (1 + random.nextInt(nodes)));
      jobs.step();
      askToRetire();
      askWhetherDelivered();
      hear();
      reads.check();
      check();
    }
  }

  private void hear() {
    for (ConfigChangeScenario.ChangeRequest unclear : orders.collectReplies(LOOK_MS)) {
      again.put(unclear, cluster.timers.now() + PAUSE_MS + random.nextInt(PAUSE_MS));
    }
    for (Map.Entry<ConfigChangeScenario.ChangeRequest, Long> one : List.copyOf(again.entrySet())) {
      if (one.getValue() <= cluster.timers.now()) {
        again.remove(one.getKey());
        if (!orders.answered(one.getKey())) {
          orders.send(one.getKey());
        }
      }
    }
  }

  /** Two orders on the newest base at any two nodes, and some of those before them once more. */
  private void race() {
    boolean many = orders.pending() + again.size() + 2 > MAX_PENDING_CHANGES;
    if (many || cluster.timers.now() < nextRace) {
      return;
    }
    nextRace = cluster.timers.now() + RACE_EVERY_MS;
    long base = 0;
    for (ConfigChangeScenario.ChangeRequest order : orders.committed) {
      base = Math.max(base, order.number());
    }
    number = Math.max(number, base) + 1;
    orders.send(ConfigChangeScenario.replacement(base, number, "a"));
    orders.send(ConfigChangeScenario.replacement(base, number + random.nextInt(2), "b"));
    if (random.nextInt(4) == 0) {
      List<ConfigChangeScenario.ChangeRequest> earlier = new ArrayList<>(orders.sent);
      orders.send(earlier.get(Math.max(0, earlier.size() - 1 - random.nextInt(8))));
    }
  }

  private void askWhetherDelivered() {
    for (String node : cluster.controlPlaneNodes.keySet()) {
      for (String store : retired) {
        String key = node + " " + store;
        if (cluster.net.nodeAt(cluster.address(node)) != null && !asked.containsKey(key)) {
          asked.put(key, cluster.call(node, "GET", "/Retire.Read/" + store, null, ""));
        }
      }
    }
    asked
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

  private boolean whole() {
    if (jobs.newest().voters.isEmpty()) {
      return false;
    }
    int voting = 0;
    for (Voter voter : jobs.newest().voters) {
      StoreNode store = cluster.stores.get(voter.machine);
      boolean there = cluster.net.nodeAt(voter.address) != null && !gone.contains(voter.machine);
      boolean same = cluster.disks.get(voter.machine).instanceId() == voter.instanceId;
      voting += there && same && store.replica().isVoting() ? 1 : 0;
    }
    for (String node : cluster.controlPlaneNodes.keySet()) {
      if (!gone.contains(node) && !cluster.allControlPlaneVotersVote(node)) {
        return false;
      }
    }
    return voting == voters;
  }

  private String state() {
    StringBuilder state = new StringBuilder("gone " + gone + ", retired " + retired);
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
    while (!(unasked.isEmpty() && delivered.containsAll(retired)) && cluster.timers.now() < end) {
      run(100);
    }
    String leaving = name + ": asked " + retired + ", delivered " + delivered + state();
    assertThat(leaving, unasked.isEmpty() && delivered.containsAll(retired), is(true));
    assertThat(name, wrong, is(empty()));
    jobs.readAll();
    orders.finish();
    assertThat(name, cluster.net.handlerFaults().isEmpty(), is(true));
  }
}
