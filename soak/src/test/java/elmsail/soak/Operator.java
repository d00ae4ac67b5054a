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

/** An operator's client: changes the configuration and reads it, at any control-plane node. */
final class Operator implements Runnable {
  private static final long CALL_TIMEOUT_MS = 1_200;
  private static final long INITIAL_BACKOFF_MS = 100;
  private static final long MAX_BACKOFF_MS = 800;
  private static final long CHANGE_TIMEOUT_MS = 8_000;
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

  /** The version that a node returns; 0 if it returns none. */
  long read(String node) {
    long sentMs = clock.nowMs();
    try {
      HttpResponse response =
          new HttpCall(nodes.get(node), "GET", "/Timetable.Read").send(CALL_TIMEOUT_MS);
      if (response.status() != 200) {
        return 0;
      }
      JsonNode config = JSON.readTree(response.text());
      long version = config.path("edition").asLong();
      checker.onRead(node, sentMs, clock.nowMs(), version, config.toString());
      return version;
    } catch (IOException e) {
      return 0;
    }
  }

  /** Sends a change until its outcome is known; returns whether it was acknowledged. */
  boolean change(long base) {
    long version = checker.nextVersion(base, 1 + random.nextInt(3));
    String content = SoakConfig.of(version);
    checker.onSend(version, content);
    long deadlineMs = clock.nowMs() + CHANGE_TIMEOUT_MS;
    long backoff = INITIAL_BACKOFF_MS;
    while (clock.nowMs() < deadlineMs) {
      int status = send(base, content);
      if (status == 200) {
        checker.onAcknowledged(version, base, clock.nowMs());
        return true;
      }
      if (status == 412) {
        checker.onConflict(version, clock.nowMs());
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
      return call.send(CALL_TIMEOUT_MS).status();
    } catch (IOException e) {
      return 0;
    }
  }
}
