package elmsail.soak;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Records what clients and servers observe of plain requests and streams, and checks the invariants
 * of it. Thread-safe.
 */
final class RequestHistoryChecker {
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

  private static final class RequestState {
    private final boolean idempotent;
    private final Set<String> postmarks = new HashSet<>();
    private int runs;
    private int status;

    RequestState(boolean repeatable) {
      this.idempotent = repeatable;
    }
  }

  private final Findings findings;
  private final Map<String, RequestState> requests = new HashMap<>();

  RequestHistoryChecker(Findings findings) {
    this.findings = findings;
  }

  /**
   * A client is about to send a request.
   *
   * @param repeatable whether it may run more than once
   */
  synchronized void onSend(String id, boolean repeatable) {
    requests.put(id, new RequestState(repeatable));
  }

  /** A server starts to run a request; returns false if no client sent it. */
  synchronized boolean onRunStarted(String id, String postmark, long atMs) {
    RequestState state = requests.get(id);
    if (state == null) {
      return false;
    }
    state.runs++;
    state.postmarks.add(postmark);
    if (!state.idempotent) {
      findings.check(
          Invariant.RUN_ONCE,
          state.runs == 1,
          atMs,
          "request " + id + " ran " + state.runs + " times");
    }
    return true;
  }

  /** How often it reached a server. */
  synchronized int runs(String id) {
    RequestState state = requests.get(id);
    return state == null ? 0 : state.runs;
  }

  /** The complete response was received. */
  synchronized void onResponse(String id, int status, String postmark, String body, long atMs) {
    RequestState state = requests.get(id);
    state.status = status;
    if (status >= 200 && status < 300) {
      boolean same = state.postmarks.contains(postmark) && body.equals(expected(id));
      findings.check(
          Invariant.ANSWER_SAME,
          same,
          atMs,
          "request " + id + " was answered " + postmark + ": " + body);
    }
  }

  /** The body of a complete response: its events as the server writes them. */
  static String expected(String id) {
    StringBuilder events = new StringBuilder();
    for (int event = 0; event < ItemScript.of(id).events(); event++) {
      events.append(event(id, event));
    }
    return events.toString();
  }

  static String event(String id, int event) {
    return "id: " + event + "\ndata: " + ItemScript.data(id, event) + "\n\n";
  }

  /** The checks of complete histories. */
  synchronized void checkAtEnd(long atMs) {
    requests.forEach(
        (id, state) -> {
          if (!state.idempotent && NOT_RUN_STATUSES.contains(state.status)) {
            findings.check(
                Invariant.REQUEST_REFUSED,
                state.runs == 0,
                atMs,
                "request " + id + " was refused with " + state.status + " and ran");
          }
        });
  }

  /** How many were answered with a success. */
  synchronized long served() {
    return requests.values().stream().filter(one -> one.status / 100 == 2).count();
  }

  synchronized int size() {
    return requests.size();
  }
}
