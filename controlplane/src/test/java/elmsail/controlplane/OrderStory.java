package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;

import elmsail.controlplane.ConfigOrderHandler.Call;
import elmsail.runtime.http.SimpleHttpResponse;
import elmsail.simulation.SimNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Operators with orders under way at control-plane nodes. Each order is sent again, at any node,
 * until a final answer is heard. Checked at each answer: never are two orders confirmed on one
 * base; one that was confirmed is never refused, and the other way round.
 */
final class OrderStory {
  /** What an operator sends; two with the same fields are the same order. */
  record Order(Call call, long base, long number, String body) {
    String path() {
      return call == Call.AMEND ? "/Timetable.Amend" : "/Timetable.Replace";
    }

    byte[] digest() {
      byte[] sent = body.getBytes(StandardCharsets.UTF_8);
      return call == Call.AMEND
          ? ConfigHistory.amendmentDigest(base, sent)
          : ConfigHistory.digest(base, sent);
    }
  }

  private static final int ANSWER_MS = 1_000;
  private static final int PAUSE_MS = 60;
  private static final long SETTLE_MS = 20_000;
  private static final Pattern EDITION = Pattern.compile("\"edition\":(\\d+)");

  private record SentOrder(
      Order order, CompletableFuture<SimpleHttpResponse> reply, long end, boolean lost) {}

  final World world;
  final Random chance;
  final Set<Order> confirmed = new LinkedHashSet<>();
  final Map<Order, Integer> refused = new HashMap<>();
  final Set<Order> sent = new LinkedHashSet<>();
  private final Map<Long, Order> confirmedOn = new HashMap<>();
  private final List<SentOrder> calls = new ArrayList<>();
  private final int nodes;
  private final String name;
  double answersLost;
  int lostAnswers;
  int unclear;

  OrderStory(String name, int seed, int nodes) {
    this(name + ", seed " + seed, new World(seed, nodes), new Random(seed), nodes);
    world.net.delay(1, 15);
    for (int i = 1; i <= nodes; i++) {
      world.controlPlane("n" + i, true);
    }
  }

  /** In a world whose nodes n1 to that number are started by others. */
  OrderStory(String name, World world, Random chance, int nodes) {
    this.name = name;
    this.nodes = nodes;
    this.chance = chance;
    this.world = world;
  }

  /** A story of nodes in which the first configuration, of number 1, is in force. */
  static OrderStory started(String name, int seed, int nodes) {
    OrderStory story = new OrderStory(name, seed, nodes);
    Order first = order(0, 1, "");
    story.send(first);
    assertThat(story.pursue(Set.of(first), SETTLE_MS, () -> {}), is(true));
    assertThat(story.confirmed.contains(first), is(true));
    return story;
  }

  /** One of them is confirmed, the others are refused. */
  Order oneWins(Set<Order> orders) {
    assertThat("answered", pursue(orders, SETTLE_MS, () -> {}), is(true));
    List<Order> won = new ArrayList<>(orders);
    won.retainAll(confirmed);
    assertThat("confirmed of " + orders.size(), won.size(), is(1));
    return won.get(0);
  }

  /** A valid configuration; {@code variant} tells those of one number apart. */
  static Order order(long base, long number, String variant) {
    String body = World.config(number);
    return new Order(
        Call.REPLACE,
        base,
        number,
        body.replace("\"r" + number + "\"", "\"r" + number + variant + "\""));
  }

  /** An amendment that adds the route of its number and variant, and may remove another. */
  static Order amendment(long base, long number, String variant, String withdrawn) {
    String route = amendedRoute(number, variant);
    String withdraw = withdrawn == null ? "" : ",\"withdraw\":{\"routes\":[\"" + withdrawn + "\"]}";
    String body =
        "{\"edition\":"
            + number
            + ",\"deliver\":{\"routes\":[{\"name\":\""
            + route
            + "\",\"depot\":\"a.example\",\"lane_prefix\":\"/"
            + route
            + "/\",\"route_class\":\"safe\",\"give_up_ms\":2000,\"postal_line\":\"p\"}]}"
            + withdraw
            + "}";
    return new Order(Call.AMEND, base, number, body);
  }

  /** The name of the route that such an amendment adds. */
  static String amendedRoute(long number, String variant) {
    return "a" + number + variant;
  }

  private boolean serves(String node) {
    SimNode there = world.net.nodeAt(world.address(node));
    return there != null && there.isAlive() && !there.isFrozen();
  }

  private String anyNode() {
    String node;
    do {
      node = "n" + (1 + chance.nextInt(nodes));
    } while (!serves(node));
    return node;
  }

  void send(Order order) {
    send(order, anyNode());
  }

  void send(Order order, String node) {
    sent.add(order);
    CompletableFuture<SimpleHttpResponse> reply =
        world.begin(node, "POST", order.path(), String.valueOf(order.base), order.body);
    calls.add(
        new SentOrder(
            order, reply, world.timers.now() + ANSWER_MS, chance.nextDouble() < answersLost));
  }

  /** Some ms pass, and the answers that came are heard; returns orders without a clear answer. */
  List<Order> hear(int ms) {
    world.timers.advance(ms);
    List<Order> open = new ArrayList<>();
    for (SentOrder call : List.copyOf(calls)) {
      if (!call.reply.isDone() && world.timers.now() < call.end) {
        continue;
      }
      calls.remove(call);
      int status = call.reply.isDone() && !call.lost ? call.reply.join().status() : -1;
      lostAnswers += call.lost ? 1 : 0;
      if (status == 200) {
        confirm(call.order);
      } else if (status >= 400 && status < 500) {
        refuse(call.order, status);
      } else {
        unclear++;
        open.add(call.order);
      }
    }
    return open;
  }

  private void confirm(Order order) {
    assertThat(name + ": refused, then confirmed: " + order, refused.containsKey(order), is(false));
    Order other = confirmedOn.putIfAbsent(order.base, order);
    assertThat(
        name + ": two on one base: " + other + " and " + order,
        other == null || other.equals(order),
        is(true));
    confirmed.add(order);
  }

  private void refuse(Order order, int status) {
    assertThat(
        name + ": confirmed, then refused by " + status + ": " + order,
        confirmed.contains(order),
        is(false));
    refused.put(order, status);
  }

  /** How many calls have no answer yet. */
  int underWay() {
    return calls.size();
  }

  private boolean underWay(Order order) {
    for (SentOrder call : calls) {
      if (call.order.equals(order)) {
        return true;
      }
    }
    return false;
  }

  boolean answered(Order order) {
    return confirmed.contains(order) || refused.containsKey(order);
  }

  /** Sends each again until all of them have a final answer; false if the time is over. */
  boolean pursue(Set<Order> orders, long withinMs, Runnable meanwhile) {
    long end = world.timers.now() + withinMs;
    Map<Order, Long> again = new HashMap<>();
    while (world.timers.now() < end) {
      meanwhile.run();
      for (Order open : hear(1 + chance.nextInt(10))) {
        again.put(open, world.timers.now() + PAUSE_MS + chance.nextInt(PAUSE_MS));
      }
      boolean done = true;
      for (Order order : orders) {
        if (answered(order)) {
          continue;
        }
        done = false;
        if (!underWay(order) && again.getOrDefault(order, 0L) <= world.timers.now()) {
          again.remove(order);
          send(order);
        }
      }
      if (done) {
        return true;
      }
    }
    return false;
  }

  /** Sends one that had its answer once more and gives what is answered at last, or 503. */
  int repeat(Order order, long withinMs) {
    long end = world.timers.now() + withinMs;
    while (world.timers.now() < end) {
      CompletableFuture<SimpleHttpResponse> reply =
          world.begin(anyNode(), "POST", order.path(), String.valueOf(order.base), order.body);
      int status = world.status(reply);
      if (status == 200) {
        confirm(order);
        return status;
      }
      if (status >= 400 && status < 500) {
        refuse(order, status);
        return status;
      }
      unclear++;
      hear(PAUSE_MS);
    }
    return 503;
  }

  /** The number in force as some node reads it. */
  long current(long withinMs) {
    long end = world.timers.now() + withinMs;
    String read = world.read(anyNode());
    while (!read.startsWith("{") && world.timers.now() < end) {
      world.timers.advance(PAUSE_MS);
      read = world.read(anyNode());
    }
    assertThat(name + ": read back: " + read, read.startsWith("{"), is(true));
    Matcher edition = EDITION.matcher(read);
    assertThat(edition.find(), is(true));
    return Long.parseLong(edition.group(1));
  }

  /** All that was confirmed is in the chain of what was in force, and nothing that was refused. */
  void finish() {
    long current = current(10_000);
    ConfigHistory last = null;
    for (ControlPlaneNode office : world.offices.values()) {
      byte[] value = office.committedConfig();
      if (value != null && ConfigHistory.of(value).edition() == current) {
        last = ConfigHistory.of(value);
      }
    }
    assertThat(name + ": seen by no node: " + current, last, notNullValue());
    assertThat(name, last.remembered() < ConfigHistory.REMEMBERED, is(true));
    Set<Order> taken = new HashSet<>();
    for (Order order : sent) {
      if (taken(last, order)) {
        taken.add(order);
      }
    }
    for (Order order : confirmed) {
      assertThat(name + ": confirmed and lost: " + order, taken.contains(order), is(true));
    }
    for (Order order : refused.keySet()) {
      assertThat(name + ": refused and in force: " + order, taken.contains(order), is(false));
    }
  }

  private static boolean taken(ConfigHistory last, Order order) {
    return last.standing(order.base, order.digest()) == OrderStanding.TAKEN;
  }
}
