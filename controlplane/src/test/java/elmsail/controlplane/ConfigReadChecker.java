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
 * Reads the configuration at nodes, whatever state they are in. Each answer is a configuration that
 * is no older than the newest that was acknowledged when the read was sent, or a 5xx.
 */
final class ConfigReadChecker {
  private static final Pattern EDITION = Pattern.compile("\"edition\":(\\d+)");
  private static final int MAX_PENDING = 4_000;

  private record Read(
      String node, long sentAt, long least, CompletableFuture<SimpleHttpResponse> reply) {}

  private final String name;
  private final ConfigChangeScenario changes;
  private final List<Read> open = new ArrayList<>();
  private int configsRead;
  private int unavailable;

  ConfigReadChecker(String name, ConfigChangeScenario changes) {
    this.name = name;
    this.changes = changes;
  }

  /** Answers that held a configuration. */
  int configsRead() {
    return configsRead;
  }

  /** Answers of 5xx. */
  int unavailable() {
    return unavailable;
  }

  private long newest() {
    long newest = 0;
    for (ConfigChangeScenario.ChangeRequest request : changes.committed) {
      newest = Math.max(newest, request.number());
    }
    return newest;
  }

  /** Sends a read to that node, if it runs; a frozen one finds it when it is thawed. */
  void read(String name) {
    SimulatedCluster cluster = changes.cluster;
    ControlPlaneNode controlPlaneNode = cluster.controlPlaneNodes.get(name);
    SimNode node = cluster.net.nodeAt(cluster.address(name));
    if (controlPlaneNode == null || node == null || open.size() >= MAX_PENDING) {
      return;
    }
    CompletableFuture<SimpleHttpResponse> reply = new CompletableFuture<>();
    open.add(new Read(name, cluster.timers.now(), newest(), reply));
    SimpleHttpRequest call =
        new SimpleHttpRequest("GET", "/Timetable.Read", Map.of(), Map.of(), new byte[0]);
    node.timers()
        .execute(() -> controlPlaneNode.operatorApi().handle(call).thenAccept(reply::complete));
  }

  /** Checks what has been answered. */
  void check() {
    for (Read read : List.copyOf(open)) {
      if (!read.reply.isDone()) {
        continue;
      }
      open.remove(read);
      String about = name + ": " + read.node + " asked at " + read.sentAt;
      int status = read.reply.join().status();
      if (status >= 500) {
        unavailable++;
        continue;
      }
      if (read.least == 0 && status == 404) {
        continue;
      }
      assertThat(about, status, is(200));
      String body = new String(read.reply.join().body(), StandardCharsets.UTF_8);
      Matcher edition = EDITION.matcher(body);
      assertThat(about, edition.find(), is(true));
      assertThat(about, Long.parseLong(edition.group(1)), greaterThanOrEqualTo(read.least));
      configsRead++;
    }
  }
}
