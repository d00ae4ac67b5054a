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
  /** What an operator sends; two with the same fields are the same change. */
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
      ChangeRequest request, CompletableFuture<SimpleHttpResponse> reply, long end, boolean lost) {}

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
    ConfigChangeScenario scenario = new ConfigChangeScenario(name, seed, nodes);
    ChangeRequest first = replacement(0, 1, "");
    scenario.send(first);
    assertThat(scenario.retryUntilAnswered(Set.of(first), SETTLE_MS, () -> {}), is(true));
    assertThat(scenario.committed.contains(first), is(true));
    return scenario;
  }

  /** One of them is confirmed, the others are refused. */
  ChangeRequest awaitSingleWinner(Set<ChangeRequest> requests) {
    assertThat("answered", retryUntilAnswered(requests, SETTLE_MS, () -> {}), is(true));
    List<ChangeRequest> won = new ArrayList<>(requests);
    won.retainAll(committed);
    assertThat("confirmed of " + requests.size(), won.size(), is(1));
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

  void send(ChangeRequest request) {
    send(request, anyNode());
  }

  void send(ChangeRequest request, String node) {
    sent.add(request);
    CompletableFuture<SimpleHttpResponse> reply =
        cluster.call(node, "POST", request.path(), String.valueOf(request.base), request.body);
    calls.add(
        new PendingRequest(
            request, reply, cluster.timers.now() + ANSWER_MS, random.nextDouble() < replyLossRate));
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
        onCommitted(call.request);
      } else if (status >= 400 && status < 500) {
        onRejected(call.request, status);
      } else {
        outcomesUnknown++;
        open.add(call.request);
      }
    }
    return open;
  }

  private void onCommitted(ChangeRequest request) {
    assertThat(
        name + ": refused, then confirmed: " + request, rejected.containsKey(request), is(false));
    ChangeRequest other = confirmedOn.putIfAbsent(request.base, request);
    assertThat(
        name + ": two on one base: " + other + " and " + request,
        other == null || other.equals(request),
        is(true));
    committed.add(request);
  }

  private void onRejected(ChangeRequest request, int status) {
    assertThat(
        name + ": confirmed, then refused by " + status + ": " + request,
        committed.contains(request),
        is(false));
    rejected.put(request, status);
  }

  /** How many calls have no answer yet. */
  int pending() {
    return calls.size();
  }

  private boolean pending(ChangeRequest request) {
    for (PendingRequest call : calls) {
      if (call.request.equals(request)) {
        return true;
      }
    }
    return false;
  }

  boolean answered(ChangeRequest request) {
    return committed.contains(request) || rejected.containsKey(request);
  }

  /** Sends each again until all of them have a final answer; false if the time is over. */
  boolean retryUntilAnswered(Set<ChangeRequest> requests, long withinMs, Runnable meanwhile) {
    long end = cluster.timers.now() + withinMs;
    Map<ChangeRequest, Long> again = new HashMap<>();
    while (cluster.timers.now() < end) {
      meanwhile.run();
      for (ChangeRequest open : collectReplies(1 + random.nextInt(10))) {
        again.put(open, cluster.timers.now() + PAUSE_MS + random.nextInt(PAUSE_MS));
      }
      boolean done = true;
      for (ChangeRequest request : requests) {
        if (answered(request)) {
          continue;
        }
        done = false;
        if (!pending(request) && again.getOrDefault(request, 0L) <= cluster.timers.now()) {
          again.remove(request);
          send(request);
        }
      }
      if (done) {
        return true;
      }
    }
    return false;
  }

  /** Sends one that had its answer once more and gives what is answered at last, or 503. */
  int repeat(ChangeRequest request, long withinMs) {
    long end = cluster.timers.now() + withinMs;
    while (cluster.timers.now() < end) {
      CompletableFuture<SimpleHttpResponse> reply =
          cluster.call(
              anyNode(), "POST", request.path(), String.valueOf(request.base), request.body);
      int status = cluster.status(reply);
      if (status == 200) {
        onCommitted(request);
        return status;
      }
      if (status >= 400 && status < 500) {
        onRejected(request, status);
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
    for (ChangeRequest request : sent) {
      if (taken(last, request)) {
        taken.add(request);
      }
    }
    for (ChangeRequest request : committed) {
      assertThat(name + ": confirmed and lost: " + request, taken.contains(request), is(true));
    }
    for (ChangeRequest request : rejected.keySet()) {
      assertThat(name + ": refused and in force: " + request, taken.contains(request), is(false));
    }
  }

  private static boolean taken(ConfigHistory last, ChangeRequest request) {
    return last.statusOf(request.base, request.digest()) == ConfigChangeStatus.COMMITTED;
  }
}
