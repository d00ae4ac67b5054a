package elmsail.config;

import java.util.List;

/**
 * One route of a configuration; times in ms, those not given are 0.
 *
 * @param host {@code depot}, lower case
 * @param prefix {@code lane_prefix}
 * @param weightedServices the services and their weights (one with weight 1 for {@code
 *     postal_line})
 * @param maxAttempts servers that one try of a client may be sent to; for a job's item, answers of
 *     500 before it is dead
 * @param maxWaitingTokens tokens of jobs that may wait, 0: no limit
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
    long maxWaitingTokens) {

  /** From {@code route_class}. */
  public enum Kind {
    SAFE,
    UNSAFE,
    STREAM,
    BATCH
  }

  /** A service and its weight. */
  public record WeightedService(String service, double weight) {}

  /** Whether what may have run may be run again. */
  public boolean isIdempotent() {
    return kind == Kind.SAFE || kind == Kind.STREAM && resumable;
  }
}
