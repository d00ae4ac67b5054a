package willowdoor.policy;

import java.util.List;

/**
 * Interface between a gateway and its decision module, {@link QuotaPolicy}: settings at the start,
 * then events in and actions out. Times are in milliseconds of a monotonic clock.
 */
public final class GatewayApi {

  private GatewayApi() {}

  /**
   * Whether a request may be sent again: always, only to backends that deduplicate it by its key,
   * or never.
   */
  public enum RetrySafety {
    SAFE,
    KEYED,
    UNSAFE
  }

  /**
   * The backends that share the deduplication of keyed requests: all, those of one zone, or those
   * of one cell.
   */
  public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
  }

  /** Outcome of an attempt or of a call to the counter. */
  public enum Status {
    OK,
    ERROR,
    REJECTED,
    TIMED_OUT,
    UNREACHABLE,
    RESET,
    CANCELLED,
    NOT_SENT;

    /**
     * Whether the outcome proves that the attempt was not executed, or that the call added nothing.
     */
    public boolean provesNotRun() {
      return this == REJECTED || this == UNREACHABLE || this == NOT_SENT;
    }
  }

  public enum Phase {
    SERVING,
    DRAINING,
    REMOVED
  }

  /**
   * Content of a backend list: only the changes, all backends, all backends as saved by an earlier
   * process, or a failed request for the list.
   */
  public enum BackendListKind {
    CHANGES,
    COMPLETE,
    CACHED,
    FAILED
  }

  /**
   * A class of requests: its value, latency objective and deadline, and whether it may be sent
   * again.
   */
  public record RequestClass(
      String name,
      double value,
      double lateValue,
      double objectiveMs,
      double deadlineMs,
      RetrySafety retrySafety,
      DeduplicationScope deduplicationScope,
      double deduplicationWindowMs,
      boolean streaming) {}

  /** A customer plan; a rate, open limit or ceiling rate of 0 means no limit. */
  public record Plan(
      String name,
      double rate,
      double burst,
      int maxOpen,
      double valueFactor,
      double overQuotaValue,
      double overQuotaCost,
      double ceilingRate,
      double ceilingBurst,
      double ceilingSlack) {}

  /** Features and limits of a gateway. */
  public record GatewayOptions(
      boolean sharedCounter,
      double counterTimeoutMs,
      boolean cancel,
      boolean duplicates,
      int maxAttempts,
      int maxOpen,
      boolean retryAfter,
      double maxRetryAfterMs,
      boolean backendListOnRequest) {}

  /** Parameters of the warm-up and overload rules. */
  public record Rules(
      double answerSlackMs,
      double warmUpStartShare,
      double warmUpMs,
      double overloadMultiple,
      double overloadAfterMs) {}

  public record Settings(
      int gateways,
      int selfIndex,
      String zone,
      double maxUnits,
      double crossZoneCost,
      boolean capacityHints,
      List<RequestClass> classes,
      List<Plan> plans,
      GatewayOptions options,
      Rules rules) {}

  /** A backend in a list; startedMs is 0 if it started long ago. */
  public record BackendEntry(
      long id, String zone, int cell, Phase phase, double capacity, double startedMs) {}

  /** A backend's load report; NaN means not reported. */
  public record Load(double inFlight, double serviceMs) {}

  /** An event that a gateway passes to its decision module. */
  public sealed interface Event {}

  public record BackendList(BackendListKind kind, List<BackendEntry> entries) implements Event {}

  /** Operators exclude a backend, with precedence over the list, or admit it again. */
  public record BackendExclusion(long backend, boolean excluded) implements Event {}

  public record Request(
      String id,
      String className,
      String planName,
      long customer,
      int entryPoints,
      double units,
      double deadlineMs)
      implements Event {}

  /** A streaming response has started. */
  public record StreamStarted(String request, int attempt) implements Event {}

  /** Outcome of an attempt; actualUnits is 0 if unknown, load is null without a report. */
  public record Outcome(
      String request,
      int attempt,
      long backend,
      Status status,
      double latencyMs,
      boolean requestDone,
      double actualUnits,
      Load load)
      implements Event {}

  /** The client has disconnected, which ends the request. */
  public record ClientDisconnected(String request) implements Event {}

  /** Result of a call to the counter; total is valid only with status OK. */
  public record CounterResult(String name, Status status, double total, double latencyMs)
      implements Event {}

  public record TimerFired(String label) implements Event {}

  /** An action that the decision module requests from its gateway. */
  public sealed interface Action {}

  /**
   * Start an attempt; the n-th Send of a request, from 0, is its attempt n. The attempt must be
   * written to the network completely by writtenByMs (infinity for no limit), or not be sent.
   */
  public record Send(String request, long backend, double timeoutMs, double writtenByMs)
      implements Action {}

  /**
   * Final answer: refused, and the client can safely retry; a retryAfterMs of 0 gives no advice.
   */
  public record Refuse(String request, double retryAfterMs) implements Action {}

  /** Final answer: failed; the request may have been executed. */
  public record Fail(String request) implements Action {}

  public record Cancel(String request, int attempt) implements Action {}

  /** Add to a named count; a new count starts at 0 and expires after ttlMs. */
  public record AddToCounter(String name, double amount, double ttlMs) implements Action {}

  public record SetTimer(double atMs, String label) implements Action {}

  /** Request the changes of the backend list from now on. */
  public record WatchBackendList() implements Action {}
}
