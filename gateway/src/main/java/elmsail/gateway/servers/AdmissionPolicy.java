package elmsail.gateway.servers;

/**
 * Whether a request is sent to the best server there is, or refused at once, so that its client
 * comes back when there may be room, and those let in are served in time. Pure.
 */
public final class AdmissionPolicy {
  /**
   * Of the objective, until the first token. A short queue keeps a server as busy as a long one,
   * and leaves time for what the estimate does not see.
   */
  private static final double MAX_WAIT_RATIO_SHARED_LOAD = 0.5;

  /** Likewise where the wait is known from the load that servers told some time ago. */
  private static final double MAX_WAIT_RATIO_REPORTED_LOAD = 2;

  private AdmissionPolicy() {}

  /**
   * What is known of the server that would get the request.
   *
   * @param waitMs estimated, until it is read there; its own prompt does not count, or long ones
   *     would be refused even by idle servers
   * @param fromSharedLoad whether the estimate rests on what all gateways have open now
   */
  public record Estimate(double waitMs, boolean fromSharedLoad) {}

  /**
   * Whether to refuse.
   *
   * @param latencyTargetMs the route's objective, 0: none, and nothing is refused
   */
  public static boolean rejects(Estimate estimate, long latencyTargetMs) {
    if (latencyTargetMs <= 0) {
      return false;
    }
    double maxWaitRatio =
        estimate.fromSharedLoad() ? MAX_WAIT_RATIO_SHARED_LOAD : MAX_WAIT_RATIO_REPORTED_LOAD;
    return estimate.waitMs() > latencyTargetMs * maxWaitRatio;
  }
}
