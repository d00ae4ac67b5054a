package elmsail.controlplane;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.http.HttpClientRequest;
import elmsail.runtime.http.SimpleHttpResponse;
import elmsail.simulation.SimNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A simulated platform that accepts usage reports and records violations of its rules: two contents
 * for one window, one fencing token of two holders, and holders whose calls alternate within a
 * lease time.
 */
final class SimulatedDutyPlatform {
  private static final Pattern BODY =
      Pattern.compile("\\{\"window_no\":(\\d+),\"counts\":\\{(.*)\\}\\}");
  private static final Pattern COUNT = Pattern.compile("\"([^\"]+)\":(\\d+)");
  private static final long LEASE_MS = 3_000;

  /** How the platform fails calls. */
  enum FailureMode {
    NONE,
    SILENT,
    BUSY,
    RESET
  }

  private record AcceptedCall(String holder, long token, long atMs) {}

  private final ManualTimers timers;
  private final Random random;
  private final Map<Long, String> holderByToken = new HashMap<>();
  private final List<AcceptedCall> acceptedCalls = new ArrayList<>();
  private final TreeMap<Long, String> contents = new TreeMap<>();
  private final TreeMap<Long, Long> firstAcceptedAtMs = new TreeMap<>();
  final List<String> violations = new ArrayList<>();
  private long highestToken;
  int calls;
  int fencedCalls;
  FailureMode failureMode = FailureMode.NONE;
  long minReplyMs = 5;
  long maxReplyMs = 20;

  /** Share of replies that are lost, 0 to 1. */
  double replyLossRate;

  SimulatedDutyPlatform(long seed, ManualTimers timers) {
    this.timers = timers;
    this.random = new Random(seed);
  }

  /** Sends a call from a process on that node. */
  CompletableFuture<SimpleHttpResponse> call(
      SimNode from, String machine, HttpClientRequest request, long timeoutMs) {
    CompletableFuture<SimpleHttpResponse> reply = new CompletableFuture<>();
    from.timers().schedule(timeoutMs, () -> fail(reply, ErrorCode.TIMEOUT));
    timers.schedule(1 + random.nextInt(10), () -> onCallReceived(from, machine, request, reply));
    return reply;
  }

  private void onCallReceived(
      SimNode from,
      String machine,
      HttpClientRequest request,
      CompletableFuture<SimpleHttpResponse> reply) {
    calls++;
    if (failureMode == FailureMode.SILENT) {
      return;
    }
    if (failureMode == FailureMode.RESET) {
      from.timers().execute(() -> fail(reply, ErrorCode.CONNECTION_LOST));
      return;
    }
    int status = failureMode == FailureMode.BUSY ? 503 : process(machine, request);
    if (random.nextDouble() >= replyLossRate) {
      long delayMs = minReplyMs + random.nextLong(maxReplyMs - minReplyMs + 1);
      timers.schedule(
          delayMs,
          () ->
              from.timers()
                  .execute(
                      () -> reply.complete(new SimpleHttpResponse(status, Map.of(), new byte[0]))));
    }
  }

  private static void fail(CompletableFuture<SimpleHttpResponse> reply, ErrorCode code) {
    reply.completeExceptionally(new ElmsailException(code, "simulated platform"));
  }

  private int process(String machine, HttpClientRequest request) {
    String holder = request.headers().get(PlatformDutyClient.HOLDER_HEADER);
    long token = Long.parseLong(request.headers().get(PlatformDutyClient.FENCE_HEADER));
    if (!holder.equals(machine)) {
      violations.add(machine + " sends calls as " + holder);
    }
    String first = holderByToken.computeIfAbsent(token, unused -> holder);
    if (!first.equals(holder)) {
      violations.add("token " + token + " of " + first + " and " + holder);
    }
    if (token < highestToken) {
      fencedCalls++;
      return 409;
    }
    highestToken = token;
    recordAndCheckAlternation(new AcceptedCall(holder, token, timers.now()));
    Matcher body = BODY.matcher(new String(request.body(), StandardCharsets.UTF_8));
    if (!body.matches()) {
      violations.add("malformed report: " + new String(request.body(), StandardCharsets.UTF_8));
      return 400;
    }
    long window = Long.parseLong(body.group(1));
    String before = contents.putIfAbsent(window, body.group(2));
    firstAcceptedAtMs.putIfAbsent(window, timers.now());
    if (before != null && !before.equals(body.group(2))) {
      violations.add("window " + window + ": " + before + " and " + body.group(2));
    }
    return 200;
  }

  private void recordAndCheckAlternation(AcceptedCall call) {
    boolean otherHolderSince = false;
    for (int i = acceptedCalls.size() - 1; i >= 0; i--) {
      AcceptedCall earlier = acceptedCalls.get(i);
      if (call.atMs - earlier.atMs >= LEASE_MS) {
        break;
      }
      if (!earlier.holder.equals(call.holder)) {
        otherHolderSince = true;
      } else if (otherHolderSince) {
        violations.add(
            call.holder
                + " is accepted again after another holder, "
                + (call.atMs - earlier.atMs)
                + " ms after its last call");
        break;
      } else {
        continue;
      }
    }
    acceptedCalls.add(call);
  }

  /** The accepted windows, in order. */
  List<Long> windows() {
    return List.copyOf(contents.keySet());
  }

  /**
   * Time at which the window was first accepted, in ms of the test's clock; null if it was not
   * accepted.
   */
  Long acceptedAtMs(long window) {
    return firstAcceptedAtMs.get(window);
  }

  /** The counts of an accepted window. */
  Map<String, Long> counts(long window) {
    Map<String, Long> counts = new TreeMap<>();
    Matcher each = COUNT.matcher(contents.get(window));
    while (each.find()) {
      counts.put(each.group(1), Long.parseLong(each.group(2)));
    }
    return counts;
  }
}
