package elmsail.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BooleanSupplier;

/**
 * A stand-in for an operator: changes the configuration and reads it, at any control-plane node.
 */
final class Operator implements Runnable {
  private static final long CALL_MS = 1_200;
  private static final long INITIAL_BACKOFF_MS = 100;
  private static final long MAX_BACKOFF_MS = 800;
  private static final long ORDER_MS = 8_000;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final ConfigHistoryChecker checker;
  private final Map<String, InetSocketAddress> nodes;
  private final List<String> names;
  private final SoakClock clock;
  private final Random random;
  private final BooleanSupplier over;

  /**
   * @param nodes the control addresses by machine
   */
  Operator(
      ConfigHistoryChecker checker,
      Map<String, InetSocketAddress> nodes,
      SoakClock clock,
      long seed,
      BooleanSupplier over) {
    this.checker = checker;
    this.nodes = Map.copyOf(nodes);
    this.names = nodes.keySet().stream().sorted().toList();
    this.clock = clock;
    this.random = new Random(seed);
    this.over = over;
  }

  @Override
  public void run() {
    while (!over.getAsBoolean()) {
      long base = read(anyNode());
      if (base > 0) {
        change(base);
      }
      SoakClock.pause(300 + random.nextInt(1_200));
    }
  }

  private String anyNode() {
    return names.get(random.nextInt(names.size()));
  }

  /** The edition that a node tells, 0 if it tells none. */
  long read(String node) {
    long sentMs = clock.nowMs();
    try {
      HttpResponse response = new HttpCall(nodes.get(node), "GET", "/Timetable.Read").send(CALL_MS);
      if (response.status() != 200) {
        return 0;
      }
      JsonNode told = JSON.readTree(response.text());
      long edition = told.path("edition").asLong();
      checker.read(node, sentMs, clock.nowMs(), edition, told.toString());
      return edition;
    } catch (IOException e) {
      return 0;
    }
  }

  /** Sends a change until there is a clear answer; true if it was acknowledged. */
  boolean change(long base) {
    long edition = checker.nextEdition(base, 1 + random.nextInt(3));
    String content = SoakConfig.of(edition);
    checker.sending(edition, content);
    long deadlineMs = clock.nowMs() + ORDER_MS;
    long backoff = INITIAL_BACKOFF_MS;
    while (clock.nowMs() < deadlineMs) {
      int status = send(base, content);
      if (status == 200) {
        checker.acknowledged(edition, base, clock.nowMs());
        return true;
      }
      if (status == 412) {
        checker.lost(edition, clock.nowMs());
        return false;
      }
      SoakClock.pause(backoff);
      backoff = Math.min(2 * backoff, MAX_BACKOFF_MS);
    }
    return false;
  }

  private int send(long base, String content) {
    HttpCall call =
        new HttpCall(nodes.get(anyNode()), "POST", "/Timetable.Replace")
            .header("Elmsail-Based-On", Long.toString(base))
            .header("Content-Type", "application/json")
            .body(content.getBytes(StandardCharsets.UTF_8));
    try {
      return call.send(CALL_MS).status();
    } catch (IOException e) {
      return 0;
    }
  }
}
