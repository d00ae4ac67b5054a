package elmsail.config;

import java.util.List;

/**
 * One route of a configuration. A time that is not configured is 0.
 *
 * @param host in lower case, without a port ({@code depot})
 * @param prefix path prefix, which begins and ends with a slash ({@code lane_prefix})
 * @param timeoutMs time after which a request without a final response is terminated ({@code
 *     give_up_ms})
 * @param latencyTargetMs time within which a response earns its full value ({@code due_ms})
 * @param priority 0 is the highest ({@code precedence})
 * @param weightedServices the services that requests are split over ({@code share_out}, or one with
 *     weight 1 for {@code postal_line})
 * @param maxAttempts number of servers to which one request may be sent; for an item of a batch
 *     job, number of responses with status 500 after which the item fails permanently ({@code
 *     tries})
 * @param resumable whether a stream may be resumed at another server ({@code resume})
 * @param tokenGapTargetMs longest pause between two events of a stream that still earns the full
 *     value ({@code gap_aim_ms})
 * @param completionTargetMs for a batch job, the time from its submission within which all results
 *     are due ({@code run_due_ms})
 * @param itemTtlMs time from a batch job's submission after which an item may be given up ({@code
 *     shelf_s})
 * @param maxWaitingTokens maximum number of tokens of one tenant's batch jobs that wait on the
 *     route; 0: no limit ({@code most_waiting})
 * @param isOpen whether requests need no key even if the configuration has tenants ({@code
 *     unstamped})
 */
public record Route(
    String name,
    String host,
    String prefix,
    Kind kind,
    long timeoutMs,
    long latencyTargetMs,
    int priority,
    List<WeightedService> weightedServices,
    int maxAttempts,
    boolean resumable,
    long tokenGapTargetMs,
    long completionTargetMs,
    long itemTtlMs,
    long maxWaitingTokens,
    boolean isOpen) {

  /** A route whose requests carry the key of a tenant. */
  public Route(
      String name,
      String host,
      String prefix,
      Kind kind,
      long timeoutMs,
      long latencyTargetMs,
      int priority,
      List<WeightedService> weightedServices,
      int maxAttempts,
      boolean resumable,
      long tokenGapTargetMs,
      long completionTargetMs,
      long itemTtlMs,
      long maxWaitingTokens) {
    this(
        name,
        host,
        prefix,
        kind,
        timeoutMs,
        latencyTargetMs,
        priority,
        weightedServices,
        maxAttempts,
        resumable,
        tokenGapTargetMs,
        completionTargetMs,
        itemTtlMs,
        maxWaitingTokens,
        false);
  }

  /** How requests of the route may be handled ({@code route_class}). */
  public enum Kind {
    /** A request may run more than once. */
    SAFE,
    /** A request must not run more than once. */
    UNSAFE,
    /** The response is a stream of events, which may be resumable. */
    STREAM,
    /** A request submits a batch job. */
    BATCH
  }

  /** A service and its weight among a route's services; weights are at least 0. */
  public record WeightedService(String service, double weight) {}

  /** Whether a request that may already have run may be sent again. */
  public boolean isIdempotent() {
    return kind == Kind.SAFE || kind == Kind.STREAM && resumable;
  }
}
