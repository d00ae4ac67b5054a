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
 * A stand-in for the platform that takes reports of use, and notes what breaks its rules: two
 * contents for one window, one fencing token of two holders, holders that act by turns within the
 * time of a lease.
 */
final class SimulatedDutyPlatform {
  private static final Pattern BODY =
      Pattern.compile("\\{\"window_no\":(\\d+),\"counts\":\\{(.*)\\}\\}");
  private static final Pattern COUNT = Pattern.compile("\"([^\"]+)\":(\\d+)");
  private static final long LEASE_MS = 3_000;

  /** How the platform treats calls while it is in trouble. */
  enum Trouble {
    NONE,
    SILENT,
    BUSY,
    RESET
  }

  private record Act(String holder, long token, long atMs) {}

  private final ManualTimers timers;
  private final Random random;
  private final Map<Long, String> holderByToken = new HashMap<>();
  private final List<Act> acts = new ArrayList<>();
  private final TreeMap<Long, String> contents = new TreeMap<>();
  private final TreeMap<Long, Long> firstAcceptedAtMs = new TreeMap<>();
  final List<String> violations = new ArrayList<>();
  private long highestToken;
  int calls;
  int refusals;
  Trouble trouble = Trouble.NONE;
  long minAnswerMs = 5;
  long maxAnswerMs = 20;

  /** The share of answers that are lost, 0 to 1. */
  double lostAnswers;

  SimulatedDutyPlatform(long seed, ManualTimers timers) {
    this.timers = timers;
    this.random = new Random(seed);
  }

  /** A call that a process at that node sends now. */
  CompletableFuture<SimpleHttpResponse> call(
      SimNode from, String machine, HttpClientRequest request, long timeoutMs) {
    CompletableFuture<SimpleHttpResponse> reply = new CompletableFuture<>();
    from.timers().schedule(timeoutMs, () -> fail(reply, ErrorCode.TIMEOUT));
    timers.schedule(1 + random.nextInt(10), () -> arrive(from, machine, request, reply));
    return reply;
  }

  private void arrive(
      SimNode from,
      String machine,
      HttpClientRequest request,
      CompletableFuture<SimpleHttpResponse> reply) {
    calls++;
    if (trouble == Trouble.SILENT) {
      return;
    }
    if (trouble == Trouble.RESET) {
      from.timers().execute(() -> fail(reply, ErrorCode.CONNECTION_LOST));
      return;
    }
    int status = trouble == Trouble.BUSY ? 503 : takeIn(machine, request);
    if (random.nextDouble() >= lostAnswers) {
      long delayMs = minAnswerMs + random.nextLong(maxAnswerMs - minAnswerMs + 1);
      timers.schedule(
          delayMs,
          () ->
              from.timers()
                  .execute(
                      () -> reply.complete(new SimpleHttpResponse(status, Map.of(), new byte[0]))));
    }
  }

  private static void fail(CompletableFuture<SimpleHttpResponse> reply, ErrorCode code) {
    reply.completeExceptionally(new ElmsailException(code, "stand-in of the platform"));
  }

  private int takeIn(String machine, HttpClientRequest request) {
    String holder = request.headers().get(PlatformDutyClient.HOLDER_HEADER);
    long token = Long.parseLong(request.headers().get(PlatformDutyClient.FENCE_HEADER));
    if (!holder.equals(machine)) {
      violations.add(machine + " calls as " + holder);
    }
    String first = holderByToken.computeIfAbsent(token, unused -> holder);
    if (!first.equals(holder)) {
      violations.add("token " + token + " of " + first + " and " + holder);
    }
    if (token < highestToken) {
      refusals++;
      return 409;
    }
    highestToken = token;
    noteTurns(new Act(holder, token, timers.now()));
    Matcher body = BODY.matcher(new String(request.body(), StandardCharsets.UTF_8));
    if (!body.matches()) {
      violations.add("not a report: " + new String(request.body(), StandardCharsets.UTF_8));
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

  private void noteTurns(Act act) {
    boolean otherSince = false;
    for (int i = acts.size() - 1; i >= 0; i--) {
      Act earlier = acts.get(i);
      if (act.atMs - earlier.atMs >= LEASE_MS) {
        break;
      }
      if (!earlier.holder.equals(act.holder)) {
        otherSince = true;
      } else if (otherSince) {
        violations.add(act.holder + " acts again, " + (act.atMs - earlier.atMs) + " ms later");
        break;
      } else {
        continue;
      }
    }
    acts.add(act);
  }

  /** The windows that were taken in, in order. */
  List<Long> windows() {
    return List.copyOf(contents.keySet());
  }

  /** When the window was first taken in, in ms of the test's clock; null if it was not. */
  Long acceptedAtMs(long window) {
    return firstAcceptedAtMs.get(window);
  }

  /** The counts of a window that was taken in. */
  Map<String, Long> counts(long window) {
    Map<String, Long> counts = new TreeMap<>();
    Matcher each = COUNT.matcher(contents.get(window));
    while (each.find()) {
      counts.put(each.group(1), Long.parseLong(each.group(2)));
    }
    return counts;
  }
}
