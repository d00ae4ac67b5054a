package elmsail.gateway.servers;

/**
 * Admission control: whether a request is sent to the best available server or rejected at once.
 * Rejection keeps queues short, so that admitted requests meet their latency target; the client of
 * a rejected request can retry later. Pure functions, safe on any thread.
 */
public final class AdmissionPolicy {
  /**
   * Maximum estimated wait as a fraction of the route's latency target, which is the target for the
   * time to the first token. A short queue keeps a server as busy as a long one and leaves time for
   * delays that the estimate does not cover.
   */
  private static final double MAX_WAIT_RATIO_SHARED_LOAD = 0.5;

  /** The same ratio if the wait is estimated from a load that the server reported some time ago. */
  private static final double MAX_WAIT_RATIO_REPORTED_LOAD = 2;

  private AdmissionPolicy() {}

  /**
   * Estimated wait at the server that was picked for the request.
   *
   * @param waitMs time until the server starts to read the prompt. The time to read the prompt
   *     itself is excluded, because otherwise long prompts would be rejected even if the server is
   *     idle
   * @param fromSharedLoad whether the estimate is based on the shared load of all gateways
   */
  public record Estimate(double waitMs, boolean fromSharedLoad) {}

  /**
   * Whether to reject the request.
   *
   * @param latencyTargetMs latency target of the route, or 0 for none, in which case nothing is
   *     rejected
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
