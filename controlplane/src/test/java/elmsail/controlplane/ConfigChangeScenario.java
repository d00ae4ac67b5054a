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
 * Operators who send configuration changes to control-plane nodes. Each change is sent again, to
 * any node, until a final reply arrives. Checks at each reply that no two changes are committed on
 * the same base version, that a committed change is never rejected, and that a rejected change is
 * never committed.
 */
final class ConfigChangeScenario {
  /** A change as an operator sends it; requests with equal fields are the same change. */
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

  /**
   * Creates a scenario in a cluster whose nodes n1 to n{@code nodeCount} are started by the caller.
   */
  ConfigChangeScenario(String scenario, SimulatedCluster cluster, Random random, int nodeCount) {
    this.scenario = scenario;
    this.nodeCount = nodeCount;
    this.random = random;
    this.cluster = cluster;
  }

  /**
   * Starts a scenario with running nodes in which the first configuration, version 1, is committed.
   */
  static ConfigChangeScenario started(String scenarioName, int seed, int nodeCount) {
    ConfigChangeScenario scenario = new ConfigChangeScenario(scenarioName, seed, nodeCount);
    ChangeRequest first = replacement(0, 1, "");
    scenario.send(first);
    assertThat(
        scenario.retryUntilFinalReplies(Set.of(first), FINAL_REPLY_TIMEOUT_MS, () -> {}), is(true));
    assertThat(scenario.committed.contains(first), is(true));
    return scenario;
  }

  /** Retries the requests until each has a final reply; asserts that exactly one is committed. */
  ChangeRequest awaitSingleWinner(Set<ChangeRequest> requests) {
    assertThat(
        "all requests have a final reply",
        retryUntilFinalReplies(requests, FINAL_REPLY_TIMEOUT_MS, () -> {}),
        is(true));
    List<ChangeRequest> winners = new ArrayList<>(requests);
    winners.retainAll(committed);
    assertThat("committed changes of " + requests.size(), winners.size(), is(1));
    return winners.get(0);
  }

  /** A replacement; {@code variant} distinguishes configurations of the same version. */
  static ChangeRequest replacement(long baseVersion, long version, String variant) {
    String body = SimulatedCluster.config(version);
    return new ChangeRequest(
        ChangeKind.REPLACE,
        baseVersion,
        version,
        body.replace("\"r" + version + "\"", "\"r" + version + variant + "\""));
  }

  /** An amendment that adds the route of its version and variant, and may remove another route. */
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

  /** The name of the route that the amendment of that version and variant adds. */
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

  /** Advances the clock and collects replies; returns requests without a conclusive reply. */
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
        scenario + ": rejected, then committed: " + request,
        rejected.containsKey(request),
        is(false));
    ChangeRequest other = committedByBase.putIfAbsent(request.baseVersion, request);
    assertThat(
        scenario + ": two changes committed on one base version: " + other + " and " + request,
        other == null || other.equals(request),
        is(true));
    committed.add(request);
  }

  private void onRejected(ChangeRequest request, int status) {
    assertThat(
        scenario + ": committed, then rejected with status " + status + ": " + request,
        committed.contains(request),
        is(false));
    rejected.put(request, status);
  }

  /** The number of calls without a reply. */
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

  /** Sends each request again until all have a final reply; false if the timeout expires before. */
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

  /**
   * Sends a request that already had its final reply again; returns the status of the final reply,
   * or 503 if there is none in time.
   */
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

  /** The current version as read from a random node. */
  long readVersion(long timeoutMs) {
    long deadlineMs = cluster.timers.now() + timeoutMs;
    String read = cluster.read(randomResponsiveNode());
    while (!read.startsWith("{") && cluster.timers.now() < deadlineMs) {
      cluster.timers.advance(RETRY_DELAY_MS);
      read = cluster.read(randomResponsiveNode());
    }
    assertThat(scenario + ": configuration read: " + read, read.startsWith("{"), is(true));
    Matcher version = VERSION_FIELD.matcher(read);
    assertThat(version.find(), is(true));
    return Long.parseLong(version.group(1));
  }

  /** Asserts that the history of changes contains all committed changes and no rejected one. */
  void assertHistoryMatchesReplies() {
    long current = readVersion(10_000);
    ConfigHistory history = null;
    for (ControlPlaneNode controlPlaneNode : cluster.controlPlaneNodes.values()) {
      byte[] value = controlPlaneNode.committedConfigBytes();
      if (value != null && ConfigHistory.decode(value).version() == current) {
        history = ConfigHistory.decode(value);
      }
    }
    assertThat(scenario + ": no node has version " + current, history, notNullValue());
    assertThat(scenario, history.changeCount() < ConfigHistory.MAX_CHANGES, is(true));
    Set<ChangeRequest> inHistory = new HashSet<>();
    for (ChangeRequest request : sent) {
      if (isInHistory(history, request)) {
        inHistory.add(request);
      }
    }
    for (ChangeRequest request : committed) {
      assertThat(
          scenario + ": committed and then lost: " + request,
          inHistory.contains(request),
          is(true));
    }
    for (ChangeRequest request : rejected.keySet()) {
      assertThat(
          scenario + ": rejected but in the history: " + request,
          inHistory.contains(request),
          is(false));
    }
  }

  private static boolean isInHistory(ConfigHistory history, ChangeRequest request) {
    return history.statusOf(request.baseVersion, request.digest()) == ConfigChangeStatus.COMMITTED;
  }
}
