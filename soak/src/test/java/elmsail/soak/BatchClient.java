package elmsail.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * The calls of a batch client, each to any gateway; every call and its response is recorded with
 * the history checkers. Thread-safe, as the checkers are.
 */
final class BatchClient {
  private static final long CALL_TIMEOUT_MS = 3_500;
  private static final String WAIT_MS = "1000";
  private static final ObjectMapper JSON = new ObjectMapper();

  private final JobHistoryChecker jobs;
  private final QuotaHistoryChecker quota;
  private final Map<String, InetSocketAddress> fronts;
  private final List<String> names;
  private final SoakClock clock;

  /**
   * @param fronts the addresses for clients by machine
   */
  BatchClient(
      JobHistoryChecker jobs,
      QuotaHistoryChecker quota,
      Map<String, InetSocketAddress> fronts,
      SoakClock clock) {
    this.jobs = jobs;
    this.quota = quota;
    this.fronts = Map.copyOf(fronts);
    this.names = fronts.keySet().stream().sorted().toList();
    this.clock = clock;
  }

  /** Draws a job; each item has from half of {@code mostTokens} up to all of them. */
  static SubmittedJob draw(Random random, String route, int items, int mostTokens, boolean slow) {
    List<SubmittedJob.Item> drawn = new ArrayList<>();
    while (drawn.size() < items) {
      long tokens = (long) mostTokens / 2 + random.nextInt(mostTokens / 2);
      SubmittedJob.Item item = item(random, route, tokens);
      if (!slow || ItemScript.of(item.id()).slow()) {
        drawn.add(item);
      }
    }
    return new SubmittedJob(hex(random), route, List.copyOf(drawn));
  }

  static SubmittedJob.Item item(Random random, String route, long tokens) {
    String id = hex(random);
    return new SubmittedJob.Item(id, SoakConfig.prefix(route) + "item", "body of " + id, tokens);
  }

  static String hex(Random random) {
    return String.format("%016x", random.nextLong());
  }

  String anyMachine(Random random) {
    return names.get(random.nextInt(names.size()));
  }

  List<String> machines() {
    return names;
  }

  /** Records a job that is about to be submitted. */
  void recordSubmit(SubmittedJob job) {
    jobs.onSubmit(job);
    quota.onSubmit(job);
  }

  /** Makes one attempt; returns the status, 0 if there is no response. */
  int submit(SubmittedJob job, String machine) {
    long sentMs = clock.nowMs();
    int status;
    try {
      status =
          call(machine, "POST", SoakConfig.prefix(job.route()) + job.id())
              .header("Elmsail-Request-Id", job.id())
              .header("Content-Type", "application/json")
              .body(json(job).getBytes(StandardCharsets.UTF_8))
              .send(CALL_TIMEOUT_MS)
              .status();
    } catch (IOException e) {
      status = 0;
    }
    long atMs = clock.nowMs();
    jobs.onSubmitAttempt(job.id(), status, atMs);
    quota.onSubmitAttempt(job.id(), machine, sentMs, atMs, status);
    return status;
  }

  /**
   * The outcome of one attempt.
   *
   * @param status 0 if there is no response
   */
  record SubmitOutcome(int status, long retryAfterMs) {}

  /** Makes one attempt over a connection that is kept. */
  SubmitOutcome submit(SubmittedJob job, String machine, KeptConnection connection, int withinMs) {
    long sentMs = clock.nowMs();
    Map<String, String> headers =
        Map.of(
            "Host",
            SoakConfig.HOST,
            "Elmsail-Request-Id",
            job.id(),
            "Content-Type",
            "application/json");
    byte[] body = json(job).getBytes(StandardCharsets.UTF_8);
    String target = SoakConfig.prefix(job.route()) + job.id();
    SubmitOutcome outcome;
    try {
      HttpResponse response = connection.post(target, headers, body, withinMs);
      outcome = new SubmitOutcome(response.status(), retryAfterMs(response));
    } catch (IOException e) {
      outcome = new SubmitOutcome(0, 0);
    }
    long atMs = clock.nowMs();
    jobs.onSubmitAttempt(job.id(), outcome.status(), atMs);
    quota.onSubmitAttempt(job.id(), machine, sentMs, atMs, outcome.status());
    return outcome;
  }

  private static long retryAfterMs(HttpResponse response) {
    String seconds = response.header("Retry-After");
    return seconds == null ? 0 : (long) (Double.parseDouble(seconds) * 1_000);
  }

  private static String json(SubmittedJob job) {
    ObjectNode root = JSON.createObjectNode();
    ArrayNode pieces = root.putArray("pieces");
    for (SubmittedJob.Item item : job.items()) {
      ObjectNode piece = pieces.addObject();
      long out = item.tokens() / 4;
      piece.put("id", item.id()).put("lane", item.lane());
      piece
          .putObject("envelope")
          .put("Elmsail-Model", "m")
          .put("Elmsail-Tokens", (item.tokens() - out) + "," + out)
          .put("Elmsail-Prompt-Prefix", item.id().substring(0, 8) + ":" + (item.tokens() - out));
      piece.put(
          "contents",
          Base64.getEncoder().encodeToString(item.body().getBytes(StandardCharsets.UTF_8)));
      piece.put("tokens", item.tokens());
    }
    return root.toString();
  }

  /** Reads results from a position; an empty read with status 0 if there is no response. */
  JobRead read(String job, String machine, int after, boolean wait) {
    long sentMs = clock.nowMs();
    try {
      HttpCall call = call(machine, "GET", "/lots/" + job + "?after=" + after);
      if (wait) {
        call.header("Elmsail-Wait-Ms", WAIT_MS);
      }
      HttpResponse response = call.send(CALL_TIMEOUT_MS);
      JobRead read = parsed(job, machine, sentMs, after, response);
      jobs.onRead(read);
      return read;
    } catch (IOException e) {
      return new JobRead(job, machine, sentMs, clock.nowMs(), 0, after, 0, after, List.of());
    }
  }

  private JobRead parsed(String job, String machine, long sentMs, int after, HttpResponse response)
      throws IOException {
    List<ItemResult> deliveries = new ArrayList<>();
    int total = 0;
    int next = after;
    if (response.status() == 200) {
      JsonNode root = JSON.readTree(response.text());
      total = root.path("total").asInt(-1);
      next = root.path("next_token").asInt(-1);
      for (JsonNode one : root.path("deliveries")) {
        deliveries.add(
            new ItemResult(
                one.path("id").asText(), one.path("state").asText(), one.path("message").asText()));
      }
    }
    return new JobRead(
        job, machine, sentMs, clock.nowMs(), response.status(), after, total, next, deliveries);
  }

  /** Reads an item's body. */
  void body(SubmittedJob job, SubmittedJob.Item item, String machine) {
    long sentMs = clock.nowMs();
    try {
      HttpResponse response =
          call(machine, "GET", "/items/" + job.id() + "?id=" + item.id()).send(CALL_TIMEOUT_MS);
      jobs.onBodyRead(
          item.id(), machine, response.status(), response.text(), sentMs, clock.nowMs());
    } catch (IOException e) {
      // Without a response there is nothing to check.
    }
  }

  /** Cancels the job; returns the status, 0 if there is no response. */
  int cancel(SubmittedJob job, String machine) {
    jobs.onCancelRequested(job.id(), clock.nowMs());
    quota.onCancelRequested(job.id(), clock.nowMs());
    try {
      int status = call(machine, "DELETE", "/lots/" + job.id()).send(CALL_TIMEOUT_MS).status();
      jobs.onCancelResponse(job.id(), machine, status, clock.nowMs());
      if (status == 200) {
        quota.onCancelled(job.id(), clock.nowMs());
      }
      return status;
    } catch (IOException e) {
      return 0;
    }
  }

  boolean complete(SubmittedJob job) {
    return jobs.complete(job.id());
  }

  private HttpCall call(String machine, String method, String target) {
    return new HttpCall(fronts.get(machine), method, target).header("Host", SoakConfig.HOST);
  }
}
