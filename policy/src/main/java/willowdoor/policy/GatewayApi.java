package willowdoor.policy;

import java.util.List;

/**
 * What passes between a gateway and its decision module, {@link QuotaPolicy}: the settings at the
 * start, then events in, actions out. Times are milliseconds on a clock that only moves forward.
 * Nothing is decided here.
 */
public final class GatewayApi {

  private GatewayApi() {}

  /**
   * May a request run again: freely, within a group of backends that drops its repeats, or never.
   */
  public enum RetrySafety {
    SAFE,
    KEYED,
    UNSAFE
  }

  /**
   * The backends that drop a keyed request's repeats: all, those of one zone, or those of one cell.
   */
  public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
  }

  /** How an attempt or a call ended. */
  public enum Status {
    OK,
    ERROR,
    REJECTED,
    TIMED_OUT,
    UNREACHABLE,
    RESET,
    CANCELLED,
    NOT_SENT;

    /** True when this ending shows that the attempt never ran, or the call added nothing. */
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
   * A roster holds only what changed, all backends, all as seen in an earlier life, or is a
   * failure.
   */
  public enum BackendListKind {
    CHANGES,
    COMPLETE,
    CACHED,
    FAILED
  }

  /** One class of requests: worth, time wanted, time allowed, and whether it may run again. */
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

  /** One plan; a rate, open limit or ceiling rate of 0 means that there is none. */
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

  /** What a gateway may use and do. */
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

  /** Figures of the rules. */
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

  /** One backend of a roster; startedMs is 0 when it started long ago. */
  public record BackendEntry(
      long id, String zone, int cell, Phase phase, double capacity, double startedMs) {}

  /** A load report; a value that was not reported is NaN. */
  public record Load(double inFlight, double serviceMs) {}

  /** What a gateway tells its module. */
  public sealed interface Event {}

  public record BackendList(BackendListKind kind, List<BackendEntry> entries) implements Event {}

  /** Operators take a backend out, whatever the roster says, until they put it back. */
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

  /** A streamed answer has begun. */
  public record StreamStarted(String request, int attempt) implements Event {}

  /** How an attempt ended; trueUnits is 0 when unknown, load is null when no report came. */
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

  /** The request is over: its client has left. */
  public record ClientDisconnected(String request) implements Event {}

  /** The end of a call to the counter; total is valid with OK. */
  public record CounterResult(String name, Status status, double total, double latencyMs)
      implements Event {}

  public record TimerFired(String label) implements Event {}

  /** What a module has its gateway do. */
  public sealed interface Action {}

  /**
   * Start an attempt; the n-th Send of a request, from 0, is its attempt n. Its last byte must be
   * with the network by then on the clock (endless where any time will do), or else it must never
   * be.
   */
  public record Send(String request, long backend, double timeoutMs, double writtenByMs)
      implements Action {}

  /** Final answer: refused, trying again is harmless; holdOffMs of 0 gives no advice. */
  public record Refuse(String request, double retryAfterMs) implements Action {}

  /** Final answer: failed, nothing promised. */
  public record Fail(String request) implements Action {}

  public record Cancel(String request, int attempt) implements Action {}

  /** Add to a named count; a new name starts at 0 and is forgotten after ttlMs. */
  public record AddToCounter(String name, double amount, double ttlMs) implements Action {}

  public record SetTimer(double atMs, String label) implements Action {}

  /** Ask for changes of the roster from now on. */
  public record WatchBackendList() implements Action {}
}
