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
final class CoreSplitStory {
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
  enum UnderWay {
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
  private static final int MOST_ORDERS = 8;

  private static final int LOOK_MS = 40;
  private static final int PAUSE_MS = 200;
  private static final int RACE_EVERY_MS = 300;
  private static final String DELIVERED = "{\"state\":\"delivered\"}";

  private final String name;
  private final World world;
  private final Random chance;
  private final Halves halves;
  private final UnderWay underWay;
  private final int nodes;
  private final int voters;
  private final OrderStory orders;
  private final ReadWatch reads;
  private final JobWriter jobs;
  private final List<String> counted = new ArrayList<>();
  private final Set<String> gone = new HashSet<>();
  private final Set<String> retired = new HashSet<>();
  private final Set<String> delivered = new HashSet<>();
  private final Map<String, Long> holderOf = new HashMap<>();
  private final Map<String, CompletableFuture<SimpleHttpResponse>> asked = new LinkedHashMap<>();
  private final Map<OrderStory.Order, Long> again = new LinkedHashMap<>();
  private long number = 1;
  private final Set<String> unasked = new LinkedHashSet<>();
  private final List<String> wrong = new ArrayList<>();
  private long nextRace;
  private long nextRetire;
  private int acknowledgedInTheCut;
  private int readsInTheCut;
  private long wholeAfterMs;
  private long ackedAfterMs;

  CoreSplitStory(int seed, int nodes, int stores, int bear, Halves halves, UnderWay underWay) {
    this.name = halves + ", " + underWay + ", seed " + seed;
    this.nodes = nodes;
    this.halves = halves;
    this.underWay = underWay;
    voters = 2 * bear + 1;
    chance = new Random(seed * 31L + halves.ordinal());
    world = new World(seed, 3, bear);
    world.net.delay(1, 8);
    orders = new OrderStory(name, world, chance, nodes);
    reads = new ReadWatch(name, orders);
    for (int i = 1; i <= nodes; i++) {
      counted.add("n" + i);
      world.controlPlane("n" + i, true);
    }
    for (int i = 1; i <= stores; i++) {
      counted.add("v" + i);
      world.store("v" + i, true);
    }
    jobs = new JobWriter(name, world, chance);
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
    assertThat(name + ": founded", world.until(10_000, this::whole), is(true));
    assertThat(name, world.replaceAnywhere(0, 1), is(200));
    orders.sent.add(OrderStory.order(0, 1, ""));
    orders.confirmed.add(OrderStory.order(0, 1, ""));
    run(1_000);
    begin();
    int confirmed = orders.confirmed.size();
    int answered = reads.answers();
    split();
    run(1_000 + chance.nextInt(2_000));
    retire(anyStore());
    run(2_000 + chance.nextInt(6_000));
    acknowledgedInTheCut = orders.confirmed.size() - confirmed;
    readsInTheCut = reads.answers() - answered;
    heal();
    int before = orders.confirmed.size();
    long healedAt = world.timers.now();
    while (!whole() && world.timers.now() < healedAt + RECOVER_MS) {
      run(50);
    }
    assertThat(name + ": whole after the heal " + state(), whole(), is(true));
    wholeAfterMs = world.timers.now() - healedAt;
    run(2_000);
    assertThat(
        name + ": orders after the heal " + state(), orders.confirmed.size() > before, is(true));
    end();
  }

  /** What is to be under way when the cut comes. */
  private void begin() {
    String store = holders().get(chance.nextInt(voters));
    String node = "n" + (1 + chance.nextInt(3));
    switch (underWay) {
      case STORE_JOINS -> {
        lose(store);
        run(GONE_MS - 200 + chance.nextInt(500));
      }
      case NODE_JOINS -> {
        lose(node);
        run(GONE_MS - 200 + chance.nextInt(500));
      }
      case RETIRE -> {
        retire(store);
        run(chance.nextInt(800));
      }
      case WIPED_STORE_REJOINS -> {
        world.wipe(store);
        run(500);
        world.store(store, false);
        run(chance.nextInt(60));
      }
      case WIPED_NODE_REJOINS -> {
        world.wipe(node);
        run(500);
        world.controlPlane(node, false);
        run(chance.nextInt(60));
      }
      case NODE_FROZEN -> world.net.freeze(world.address(node));
      default -> run(chance.nextInt(500));
    }
  }

  private void lose(String machine) {
    world.net.kill(world.address(machine), false);
    gone.add(machine);
    world.offices.remove(machine);
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
      if (chance.nextBoolean()) {
        drawn.add(machine);
      }
    }
    for (String one : counted) {
      for (String other : counted) {
        if (firstHalf(one, drawn) && !firstHalf(other, drawn)) {
          world.net.cutBoth(world.address(one), world.address(other));
        }
      }
    }
  }

  private void heal() {
    world.net.healAll();
    for (int i = 1; i <= nodes; i++) {
      if (world.net.nodeAt(world.address("n" + i)) != null) {
        world.net.thaw(world.address("n" + i));
      }
    }
  }

  private String anyStore() {
    String store;
    do {
      store = counted.get(nodes + chance.nextInt(counted.size() - nodes));
    } while (gone.contains(store));
    return store;
  }

  /** To be asked at any node until one takes it. */
  private void retire(String store) {
    unasked.add(store);
  }

  private void askToRetire() {
    if (world.timers.now() < nextRetire) {
      return;
    }
    nextRetire = world.timers.now() + RACE_EVERY_MS;
    for (String store : List.copyOf(unasked)) {
      String node = "n" + (1 + chance.nextInt(nodes));
      SimNode there = world.net.nodeAt(world.address(node));
      if (gone.contains(node) || there == null || there.isFrozen()) {
        continue;
      }
      world
          .begin(node, "POST", "/Retire.Begin/" + store, null, "{\"over_s\":10}")
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
    long end = world.timers.now() + ms;
    while (world.timers.now() < end) {
      race();
      reads.ask("n" + (1 + chance.nextInt(nodes)));
      jobs.step();
      askToRetire();
      askWhetherDelivered();
      hear();
      reads.check();
      check();
    }
  }

  private void hear() {
    for (OrderStory.Order unclear : orders.hear(LOOK_MS)) {
      again.put(unclear, world.timers.now() + PAUSE_MS + chance.nextInt(PAUSE_MS));
    }
    for (Map.Entry<OrderStory.Order, Long> one : List.copyOf(again.entrySet())) {
      if (one.getValue() <= world.timers.now()) {
        again.remove(one.getKey());
        if (!orders.answered(one.getKey())) {
          orders.send(one.getKey());
        }
      }
    }
  }

  /** Two orders on the newest base at any two nodes, and some of those before them once more. */
  private void race() {
    boolean many = orders.underWay() + again.size() + 2 > MOST_ORDERS;
    if (many || world.timers.now() < nextRace) {
      return;
    }
    nextRace = world.timers.now() + RACE_EVERY_MS;
    long base = 0;
    for (OrderStory.Order order : orders.confirmed) {
      base = Math.max(base, order.number());
    }
    number = Math.max(number, base) + 1;
    orders.send(OrderStory.order(base, number, "a"));
    orders.send(OrderStory.order(base, number + chance.nextInt(2), "b"));
    if (chance.nextInt(4) == 0) {
      List<OrderStory.Order> earlier = new ArrayList<>(orders.sent);
      orders.send(earlier.get(Math.max(0, earlier.size() - 1 - chance.nextInt(8))));
    }
  }

  private void askWhetherDelivered() {
    for (String node : world.offices.keySet()) {
      for (String store : retired) {
        String key = node + " " + store;
        if (world.net.nodeAt(world.address(node)) != null && !asked.containsKey(key)) {
          asked.put(key, world.begin(node, "GET", "/Retire.Read/" + store, null, ""));
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
    for (Voter slot : jobs.newest().voters) {
      assertThat(name + ": delivered", delivered, not(hasItem(slot.machine)));
    }
    int leases = 0;
    for (Map.Entry<String, ControlPlaneNode> office : world.offices.entrySet()) {
      boolean up = world.net.nodeAt(world.address(office.getKey())) != null;
      leases += up && office.getValue().lease.term() > 0 ? 1 : 0;
    }
    assertThat(name + ": leases", leases, lessThanOrEqualTo(1));
    for (Map.Entry<String, StoreNode> store : world.stores.entrySet()) {
      if (!store.getValue().replica().isVoting()) {
        continue;
      }
      List<Voter> slots = store.getValue().replica().voterSet().voters;
      for (int i = 0; i < slots.size(); i++) {
        Voter slot = slots.get(i);
        boolean itself = slot.machine.equals(store.getKey());
        if (itself) {
          Long before = holderOf.putIfAbsent(i + "/" + slot.epoch, slot.instanceId);
          assertThat(
              name + ": two hold slot " + i, before == null || before == slot.instanceId, is(true));
        }
      }
    }
  }

  private List<String> holders() {
    List<String> holders = new ArrayList<>();
    for (Voter slot : jobs.newest().voters) {
      holders.add(slot.machine);
    }
    return holders;
  }

  private boolean whole() {
    if (jobs.newest().voters.isEmpty()) {
      return false;
    }
    int voting = 0;
    for (Voter slot : jobs.newest().voters) {
      StoreNode store = world.stores.get(slot.machine);
      boolean there = world.net.nodeAt(slot.address) != null && !gone.contains(slot.machine);
      boolean same = world.disks.get(slot.machine).instanceId() == slot.instanceId;
      voting += there && same && store.replica().isVoting() ? 1 : 0;
    }
    for (String node : world.offices.keySet()) {
      if (!gone.contains(node) && !world.wholeHead(node)) {
        return false;
      }
    }
    return voting == voters;
  }

  private String state() {
    StringBuilder state = new StringBuilder("gone " + gone + ", retired " + retired);
    for (String node : world.offices.keySet()) {
      state.append("; ").append(node).append(' ');
      for (Voter slot : world.head(node).voters) {
        state.append(slot.machine).append('/').append(slot.epoch).append(' ');
      }
      state.append(world.offices.get(node).voters().voting() ? "votes" : "");
    }
    for (String store : world.stores.keySet()) {
      state.append("; ").append(store).append(" [").append(world.storeSet(store)).append(']');
    }
    return state.toString();
  }

  /** All that was asked to leave has left; all that was acknowledged is there. */
  private void end() {
    long end = world.timers.now() + RECOVER_MS;
    while (!(unasked.isEmpty() && delivered.containsAll(retired)) && world.timers.now() < end) {
      run(100);
    }
    String leaving = name + ": asked " + retired + ", delivered " + delivered + state();
    assertThat(leaving, unasked.isEmpty() && delivered.containsAll(retired), is(true));
    assertThat(name, wrong, is(empty()));
    jobs.readAll();
    orders.finish();
    assertThat(name, world.net.handlerFaults().isEmpty(), is(true));
  }
}
