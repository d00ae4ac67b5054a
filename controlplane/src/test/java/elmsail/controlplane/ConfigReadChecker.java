package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import elmsail.runtime.http.SimpleHttpRequest;
import elmsail.runtime.http.SimpleHttpResponse;
import elmsail.simulation.SimNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the configuration from nodes in any state. Asserts that each reply is either a
 * configuration no older than the newest one acknowledged when the read was sent, or a 5xx status.
 */
final class ConfigReadChecker {
  private static final Pattern VERSION_FIELD = Pattern.compile("\"edition\":(\\d+)");
  private static final int MAX_PENDING = 4_000;

  private record PendingRead(
      String node, long sentAtMs, long minVersion, CompletableFuture<SimpleHttpResponse> reply) {}

  private final String scenario;
  private final ConfigChangeScenario changes;
  private final List<PendingRead> pendingReads = new ArrayList<>();
  private int configsRead;
  private int unavailableReplies;

  ConfigReadChecker(String scenario, ConfigChangeScenario changes) {
    this.scenario = scenario;
    this.changes = changes;
  }

  /** The number of replies with a configuration. */
  int configsRead() {
    return configsRead;
  }

  /** The number of replies with a 5xx status. */
  int unavailableReplies() {
    return unavailableReplies;
  }

  private long newestCommittedVersion() {
    long newest = 0;
    for (ConfigChangeScenario.ChangeRequest request : changes.committed) {
      newest = Math.max(newest, request.version());
    }
    return newest;
  }

  /**
   * Sends a read to that node if the node runs; a frozen node handles the read after it is thawed.
   */
  void read(String nodeName) {
    SimulatedCluster cluster = changes.cluster;
    ControlPlaneNode controlPlaneNode = cluster.controlPlaneNodes.get(nodeName);
    SimNode node = cluster.net.nodeAt(cluster.address(nodeName));
    if (controlPlaneNode == null || node == null || pendingReads.size() >= MAX_PENDING) {
      return;
    }
    CompletableFuture<SimpleHttpResponse> reply = new CompletableFuture<>();
    pendingReads.add(
        new PendingRead(nodeName, cluster.timers.now(), newestCommittedVersion(), reply));
    SimpleHttpRequest call =
        new SimpleHttpRequest("GET", "/Timetable.Read", Map.of(), Map.of(), new byte[0]);
    node.timers()
        .execute(() -> controlPlaneNode.operatorApi().handle(call).thenAccept(reply::complete));
  }

  /** Checks the replies that have arrived. */
  void checkReplies() {
    for (PendingRead read : List.copyOf(pendingReads)) {
      if (!read.reply.isDone()) {
        continue;
      }
      pendingReads.remove(read);
      String description = scenario + ": " + read.node + ", read sent at " + read.sentAtMs;
      int status = read.reply.join().status();
      if (status >= 500) {
        unavailableReplies++;
        continue;
      }
      if (read.minVersion == 0 && status == 404) {
        continue;
      }
      assertThat(description, status, is(200));
      String body = new String(read.reply.join().body(), StandardCharsets.UTF_8);
      Matcher version = VERSION_FIELD.matcher(body);
      assertThat(description, version.find(), is(true));
      assertThat(
          description, Long.parseLong(version.group(1)), greaterThanOrEqualTo(read.minVersion));
      configsRead++;
    }
  }
}
