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
  record ChangeRequest(ChangeKind kind, long baseVersion, long version, String body) {
    String path() {
      return kind == ChangeKind.AMEND ? "/Timetable.Amend" : "/Timetable.Replace";
    }

    byte[] digest() {
      byte[] sent = body.getBytes(StandardCharsets.UTF_8);
      return kind == ChangeKind.AMEND
          ? ConfigHistory.amendmentDigest(baseVersion, sent)
          : ConfigHistory.replacementDigest(baseVersion, sent);
    }
  }

  private static final int REPLY_TIMEOUT_MS = 1_000;
  private static final int RETRY_DELAY_MS = 60;
  private static final long FINAL_REPLY_TIMEOUT_MS = 20_000;
  private static final Pattern VERSION_FIELD = Pattern.compile("\"edition\":(\\d+)");

  private record PendingRequest(
      ChangeRequest request,
      CompletableFuture<SimpleHttpResponse> reply,
      long deadlineMs,
      boolean isReplyLost) {}

  final SimulatedCluster cluster;
  final Random random;
  final Set<ChangeRequest> committed = new LinkedHashSet<>();
  final Map<ChangeRequest, Integer> rejected = new HashMap<>();
  final Set<ChangeRequest> sent = new LinkedHashSet<>();
  private final Map<Long, ChangeRequest> committedByBase = new HashMap<>();
  private final List<PendingRequest> pendingRequests = new ArrayList<>();
  private final int nodeCount;
  private final String scenario;
  double replyLossRate;
  int repliesLost;
  int outcomesUnknown;

  ConfigChangeScenario(String scenario, int seed, int nodeCount) {
    this(
        scenario + ", seed " + seed,
        new SimulatedCluster(seed, nodeCount),
        new Random(seed),
        nodeCount);
    cluster.net.delay(1, 15);
    for (int i = 1; i <= nodeCount; i++) {
      cluster.startControlPlane("n" + i, true);
    }
  }

  /** In a world whose nodes n1 to that number are started by others. */
  ConfigChangeScenario(String scenario, SimulatedCluster cluster, Random random, int nodeCount) {
    this.scenario = scenario;
    this.nodeCount = nodeCount;
    this.random = random;
    this.cluster = cluster;
  }

  /** A story of nodes in which the first configuration, of number 1, is in force. */
  static ConfigChangeScenario started(String scenarioName, int seed, int nodeCount) {
    ConfigChangeScenario scenario = new ConfigChangeScenario(scenarioName, seed, nodeCount);
    ChangeRequest first = replacement(0, 1, "");
    scenario.send(first);
    assertThat(
        scenario.retryUntilFinalReplies(Set.of(first), FINAL_REPLY_TIMEOUT_MS, () -> {}), is(true));
    assertThat(scenario.committed.contains(first), is(true));
    return scenario;
  }

  /** One of them is confirmed, the others are refused. */
  ChangeRequest awaitSingleWinner(Set<ChangeRequest> requests) {
    assertThat(
        "answered", retryUntilFinalReplies(requests, FINAL_REPLY_TIMEOUT_MS, () -> {}), is(true));
    List<ChangeRequest> winners = new ArrayList<>(requests);
    winners.retainAll(committed);
    assertThat("confirmed of " + requests.size(), winners.size(), is(1));
    return winners.get(0);
  }

  /** A valid configuration; {@code variant} tells those of one number apart. */
  static ChangeRequest replacement(long baseVersion, long version, String variant) {
    String body = SimulatedCluster.config(version);
    return new ChangeRequest(
        ChangeKind.REPLACE,
        baseVersion,
        version,
        body.replace("\"r" + version + "\"", "\"r" + version + variant + "\""));
  }

  /** An amendment that adds the route of its number and variant, and may remove another. */
  static ChangeRequest amendment(
      long baseVersion, long version, String variant, String removedRoute) {
    String route = amendedRoute(version, variant);
    String withdraw =
        removedRoute == null ? "" : ",\"withdraw\":{\"routes\":[\"" + removedRoute + "\"]}";
    String body =
        "{\"edition\":"
            + version
            + ",\"deliver\":{\"routes\":[{\"name\":\""
            + route
            + "\",\"depot\":\"a.example\",\"lane_prefix\":\"/"
            + route
            + "/\",\"route_class\":\"safe\",\"give_up_ms\":2000,\"postal_line\":\"p\"}]}"
            + withdraw
            + "}";
    return new ChangeRequest(ChangeKind.AMEND, baseVersion, version, body);
  }

  /** The name of the route that such an amendment adds. */
  static String amendedRoute(long version, String variant) {
    return "a" + version + variant;
  }

  private boolean isResponsive(String node) {
    SimNode simNode = cluster.net.nodeAt(cluster.address(node));
    return simNode != null && simNode.isAlive() && !simNode.isFrozen();
  }

  private String randomResponsiveNode() {
    String node;
    do {
      node = "n" + (1 + random.nextInt(nodeCount));
    } while (!isResponsive(node));
    return node;
  }

  void send(ChangeRequest request) {
    send(request, randomResponsiveNode());
  }

  void send(ChangeRequest request, String node) {
    sent.add(request);
    CompletableFuture<SimpleHttpResponse> reply =
        cluster.call(
            node, "POST", request.path(), String.valueOf(request.baseVersion), request.body);
    pendingRequests.add(
        new PendingRequest(
            request,
            reply,
            cluster.timers.now() + REPLY_TIMEOUT_MS,
            random.nextDouble() < replyLossRate));
  }

  /** Some ms pass, and the answers that came are heard; returns orders without a clear answer. */
  List<ChangeRequest> collectReplies(int ms) {
    cluster.timers.advance(ms);
    List<ChangeRequest> unresolved = new ArrayList<>();
    for (PendingRequest call : List.copyOf(pendingRequests)) {
      if (!call.reply.isDone() && cluster.timers.now() < call.deadlineMs) {
        continue;
      }
      pendingRequests.remove(call);
      int status = call.reply.isDone() && !call.isReplyLost ? call.reply.join().status() : -1;
      repliesLost += call.isReplyLost ? 1 : 0;
      if (status == 200) {
        onCommitted(call.request);
      } else if (status >= 400 && status < 500) {
        onRejected(call.request, status);
      } else {
        outcomesUnknown++;
        unresolved.add(call.request);
      }
    }
    return unresolved;
  }

  private void onCommitted(ChangeRequest request) {
    assertThat(
        scenario + ": refused, then confirmed: " + request,
        rejected.containsKey(request),
        is(false));
    ChangeRequest other = committedByBase.putIfAbsent(request.baseVersion, request);
    assertThat(
        scenario + ": two on one base: " + other + " and " + request,
        other == null || other.equals(request),
        is(true));
    committed.add(request);
  }

  private void onRejected(ChangeRequest request, int status) {
    assertThat(
        scenario + ": confirmed, then refused by " + status + ": " + request,
        committed.contains(request),
        is(false));
    rejected.put(request, status);
  }

  /** How many calls have no answer yet. */
  int pendingCount() {
    return pendingRequests.size();
  }

  private boolean isPending(ChangeRequest request) {
    for (PendingRequest call : pendingRequests) {
      if (call.request.equals(request)) {
        return true;
      }
    }
    return false;
  }

  boolean hasFinalReply(ChangeRequest request) {
    return committed.contains(request) || rejected.containsKey(request);
  }

  /** Sends each again until all of them have a final answer; false if the time is over. */
  boolean retryUntilFinalReplies(
      Set<ChangeRequest> requests, long timeoutMs, Runnable beforeEachStep) {
    long deadlineMs = cluster.timers.now() + timeoutMs;
    Map<ChangeRequest, Long> retryAtMs = new HashMap<>();
    while (cluster.timers.now() < deadlineMs) {
      beforeEachStep.run();
      for (ChangeRequest unresolved : collectReplies(1 + random.nextInt(10))) {
        retryAtMs.put(
            unresolved, cluster.timers.now() + RETRY_DELAY_MS + random.nextInt(RETRY_DELAY_MS));
      }
      boolean done = true;
      for (ChangeRequest request : requests) {
        if (hasFinalReply(request)) {
          continue;
        }
        done = false;
        if (!isPending(request) && retryAtMs.getOrDefault(request, 0L) <= cluster.timers.now()) {
          retryAtMs.remove(request);
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
  int resend(ChangeRequest request, long timeoutMs) {
    long deadlineMs = cluster.timers.now() + timeoutMs;
    while (cluster.timers.now() < deadlineMs) {
      CompletableFuture<SimpleHttpResponse> reply =
          cluster.call(
              randomResponsiveNode(),
              "POST",
              request.path(),
              String.valueOf(request.baseVersion),
              request.body);
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
      collectReplies(RETRY_DELAY_MS);
    }
    return 503;
  }

  /** The number in force as some node reads it. */
  long readVersion(long timeoutMs) {
    long deadlineMs = cluster.timers.now() + timeoutMs;
    String read = cluster.read(randomResponsiveNode());
    while (!read.startsWith("{") && cluster.timers.now() < deadlineMs) {
      cluster.timers.advance(RETRY_DELAY_MS);
      read = cluster.read(randomResponsiveNode());
    }
    assertThat(scenario + ": read back: " + read, read.startsWith("{"), is(true));
    Matcher version = VERSION_FIELD.matcher(read);
    assertThat(version.find(), is(true));
    return Long.parseLong(version.group(1));
  }

  /** All that was confirmed is in the chain of what was in force, and nothing that was refused. */
  void assertHistoryMatchesReplies() {
    long current = readVersion(10_000);
    ConfigHistory history = null;
    for (ControlPlaneNode controlPlaneNode : cluster.controlPlaneNodes.values()) {
      byte[] value = controlPlaneNode.committedConfigBytes();
      if (value != null && ConfigHistory.decode(value).version() == current) {
        history = ConfigHistory.decode(value);
      }
    }
    assertThat(scenario + ": seen by no node: " + current, history, notNullValue());
    assertThat(scenario, history.changeCount() < ConfigHistory.MAX_CHANGES, is(true));
    Set<ChangeRequest> inHistory = new HashSet<>();
    for (ChangeRequest request : sent) {
      if (isInHistory(history, request)) {
        inHistory.add(request);
      }
    }
    for (ChangeRequest request : committed) {
      assertThat(
          scenario + ": confirmed and lost: " + request, inHistory.contains(request), is(true));
    }
    for (ChangeRequest request : rejected.keySet()) {
      assertThat(
          scenario + ": refused and in force: " + request, inHistory.contains(request), is(false));
    }
  }

  private static boolean isInHistory(ConfigHistory history, ChangeRequest request) {
    return history.statusOf(request.baseVersion, request.digest()) == ConfigChangeStatus.COMMITTED;
  }
}
