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
final class ReadWatch {
  private static final Pattern EDITION = Pattern.compile("\"edition\":(\\d+)");
  private static final int MOST_OPEN = 4_000;

  private record Read(String node, long sentAt, long least, CompletableFuture<SimpleHttpResponse> reply) {}

  private final String name;
  private final OrderStory orders;
  private final List<Read> open = new ArrayList<>();
  private int answers;
  private int unsure;

  ReadWatch(String name, OrderStory orders) {
    this.name = name;
    this.orders = orders;
  }

  /** Answers that held a configuration. */
  int answers() {
    return answers;
  }

  /** Answers of 5xx. */
  int unsure() {
    return unsure;
  }

  private long newest() {
    long newest = 0;
    for (OrderStory.Order order : orders.confirmed) {
      newest = Math.max(newest, order.number());
    }
    return newest;
  }

  /** Sends a read to that node, if it runs; a frozen one finds it when it is thawed. */
  void ask(String name) {
    World world = orders.world;
    ControlPlaneNode office = world.offices.get(name);
    SimNode node = world.net.nodeAt(world.address(name));
    if (office == null || node == null || open.size() >= MOST_OPEN) {
      return;
    }
    CompletableFuture<SimpleHttpResponse> reply = new CompletableFuture<>();
    open.add(new Read(name, world.timers.now(), newest(), reply));
    SimpleHttpRequest call = new SimpleHttpRequest("GET", "/Timetable.Read", Map.of(), Map.of(), new byte[0]);
    node.timers().execute(() -> office.operators().handle(call).thenAccept(reply::complete));
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
        unsure++;
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
      answers++;
    }
  }
}
