package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;

import elmsail.controlplane.ConfigChangeHandler.ChangeKind;
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
final class ConfigChangeScenario {
  /** What an operator sends; two with the same fields are the same order. */
  record ChangeRequest(ChangeKind call, long base, long number, String body) {
    String path() {
      return call == ChangeKind.AMEND ? "/Timetable.Amend" : "/Timetable.Replace";
    }

    byte[] digest() {
      byte[] sent = body.getBytes(StandardCharsets.UTF_8);
      return call == ChangeKind.AMEND
          ? ConfigHistory.amendmentDigest(base, sent)
          : ConfigHistory.replacementDigest(base, sent);
    }
  }

  private static final int ANSWER_MS = 1_000;
  private static final int PAUSE_MS = 60;
  private static final long SETTLE_MS = 20_000;
  private static final Pattern EDITION = Pattern.compile("\"edition\":(\\d+)");

  private record PendingRequest(
      ChangeRequest order, CompletableFuture<SimpleHttpResponse> reply, long end, boolean lost) {}

  final SimulatedCluster cluster;
  final Random random;
  final Set<ChangeRequest> committed = new LinkedHashSet<>();
  final Map<ChangeRequest, Integer> rejected = new HashMap<>();
  final Set<ChangeRequest> sent = new LinkedHashSet<>();
  private final Map<Long, ChangeRequest> confirmedOn = new HashMap<>();
  private final List<PendingRequest> calls = new ArrayList<>();
  private final int nodes;
  private final String name;
  double replyLossRate;
  int repliesLost;
  int outcomesUnknown;

  ConfigChangeScenario(String name, int seed, int nodes) {
    this(name + ", seed " + seed, new SimulatedCluster(seed, nodes), new Random(seed), nodes);
    cluster.net.delay(1, 15);
    for (int i = 1; i <= nodes; i++) {
      cluster.controlPlane("n" + i, true);
    }
  }

  /** In a world whose nodes n1 to that number are started by others. */
  ConfigChangeScenario(String name, SimulatedCluster cluster, Random random, int nodes) {
    this.name = name;
    this.nodes = nodes;
    this.random = random;
    this.cluster = cluster;
  }

  /** A story of nodes in which the first configuration, of number 1, is in force. */
  static ConfigChangeScenario started(String name, int seed, int nodes) {
    ConfigChangeScenario story = new ConfigChangeScenario(name, seed, nodes);
    ChangeRequest first = replacement(0, 1, "");
    story.send(first);
    assertThat(story.retryUntilAnswered(Set.of(first), SETTLE_MS, () -> {}), is(true));
    assertThat(story.committed.contains(first), is(true));
    return story;
  }

  /** One of them is confirmed, the others are refused. */
  ChangeRequest awaitSingleWinner(Set<ChangeRequest> orders) {
    assertThat("answered", retryUntilAnswered(orders, SETTLE_MS, () -> {}), is(true));
    List<ChangeRequest> won = new ArrayList<>(orders);
    won.retainAll(committed);
    assertThat("confirmed of " + orders.size(), won.size(), is(1));
    return won.get(0);
  }

  /** A valid configuration; {@code variant} tells those of one number apart. */
  static ChangeRequest replacement(long base, long number, String variant) {
    String body = SimulatedCluster.config(number);
    return new ChangeRequest(
        ChangeKind.REPLACE,
        base,
        number,
        body.replace("\"r" + number + "\"", "\"r" + number + variant + "\""));
  }

  /** An amendment that adds the route of its number and variant, and may remove another. */
  static ChangeRequest amendment(long base, long number, String variant, String withdrawn) {
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
    return new ChangeRequest(ChangeKind.AMEND, base, number, body);
  }

  /** The name of the route that such an amendment adds. */
  static String amendedRoute(long number, String variant) {
    return "a" + number + variant;
  }

  private boolean serves(String node) {
    SimNode there = cluster.net.nodeAt(cluster.address(node));
    return there != null && there.isAlive() && !there.isFrozen();
  }

  private String anyNode() {
    String node;
    do {
      node = "n" + (1 + random.nextInt(nodes));
    } while (!serves(node));
    return node;
  }

  void send(ChangeRequest order) {
    send(order, anyNode());
  }

  void send(ChangeRequest order, String node) {
    sent.add(order);
    CompletableFuture<SimpleHttpResponse> reply =
        cluster.call(node, "POST", order.path(), String.valueOf(order.base), order.body);
    calls.add(
        new PendingRequest(
            order, reply, cluster.timers.now() + ANSWER_MS, random.nextDouble() < replyLossRate));
  }

  /** Some ms pass, and the answers that came are heard; returns orders without a clear answer. */
  List<ChangeRequest> collectReplies(int ms) {
    cluster.timers.advance(ms);
    List<ChangeRequest> open = new ArrayList<>();
    for (PendingRequest call : List.copyOf(calls)) {
      if (!call.reply.isDone() && cluster.timers.now() < call.end) {
        continue;
      }
      calls.remove(call);
      int status = call.reply.isDone() && !call.lost ? call.reply.join().status() : -1;
      repliesLost += call.lost ? 1 : 0;
      if (status == 200) {
        onCommitted(call.order);
      } else if (status >= 400 && status < 500) {
        onRejected(call.order, status);
      } else {
        outcomesUnknown++;
        open.add(call.order);
      }
    }
    return open;
  }

  private void onCommitted(ChangeRequest order) {
    assertThat(
        name + ": refused, then confirmed: " + order, rejected.containsKey(order), is(false));
    ChangeRequest other = confirmedOn.putIfAbsent(order.base, order);
    assertThat(
        name + ": two on one base: " + other + " and " + order,
        other == null || other.equals(order),
        is(true));
    committed.add(order);
  }

  private void onRejected(ChangeRequest order, int status) {
    assertThat(
        name + ": confirmed, then refused by " + status + ": " + order,
        committed.contains(order),
        is(false));
    rejected.put(order, status);
  }

  /** How many calls have no answer yet. */
  int pending() {
    return calls.size();
  }

  private boolean pending(ChangeRequest order) {
    for (PendingRequest call : calls) {
      if (call.order.equals(order)) {
        return true;
      }
    }
    return false;
  }

  boolean answered(ChangeRequest order) {
    return committed.contains(order) || rejected.containsKey(order);
  }

  /** Sends each again until all of them have a final answer; false if the time is over. */
  boolean retryUntilAnswered(Set<ChangeRequest> orders, long withinMs, Runnable meanwhile) {
    long end = cluster.timers.now() + withinMs;
    Map<ChangeRequest, Long> again = new HashMap<>();
    while (cluster.timers.now() < end) {
      meanwhile.run();
      for (ChangeRequest open : collectReplies(1 + random.nextInt(10))) {
        again.put(open, cluster.timers.now() + PAUSE_MS + random.nextInt(PAUSE_MS));
      }
      boolean done = true;
      for (ChangeRequest order : orders) {
        if (answered(order)) {
          continue;
        }
        done = false;
        if (!pending(order) && again.getOrDefault(order, 0L) <= cluster.timers.now()) {
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
  int repeat(ChangeRequest order, long withinMs) {
    long end = cluster.timers.now() + withinMs;
    while (cluster.timers.now() < end) {
      CompletableFuture<SimpleHttpResponse> reply =
          cluster.call(anyNode(), "POST", order.path(), String.valueOf(order.base), order.body);
      int status = cluster.status(reply);
      if (status == 200) {
        onCommitted(order);
        return status;
      }
      if (status >= 400 && status < 500) {
        onRejected(order, status);
        return status;
      }
      outcomesUnknown++;
      collectReplies(PAUSE_MS);
    }
    return 503;
  }

  /** The number in force as some node reads it. */
  long current(long withinMs) {
    long end = cluster.timers.now() + withinMs;
    String read = cluster.read(anyNode());
    while (!read.startsWith("{") && cluster.timers.now() < end) {
      cluster.timers.advance(PAUSE_MS);
      read = cluster.read(anyNode());
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
    for (ControlPlaneNode controlPlaneNode : cluster.controlPlaneNodes.values()) {
      byte[] value = controlPlaneNode.committedConfigBytes();
      if (value != null && ConfigHistory.decode(value).version() == current) {
        last = ConfigHistory.decode(value);
      }
    }
    assertThat(name + ": seen by no node: " + current, last, notNullValue());
    assertThat(name, last.changeCount() < ConfigHistory.MAX_CHANGES, is(true));
    Set<ChangeRequest> taken = new HashSet<>();
    for (ChangeRequest order : sent) {
      if (taken(last, order)) {
        taken.add(order);
      }
    }
    for (ChangeRequest order : committed) {
      assertThat(name + ": confirmed and lost: " + order, taken.contains(order), is(true));
    }
    for (ChangeRequest order : rejected.keySet()) {
      assertThat(name + ": refused and in force: " + order, taken.contains(order), is(false));
    }
  }

  private static boolean taken(ConfigHistory last, ChangeRequest order) {
    return last.statusOf(order.base, order.digest()) == ConfigChangeStatus.COMMITTED;
  }
}
