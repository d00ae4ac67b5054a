package elmsail.gateway.servers;

/**
 * Admission control: whether a request is sent to the best server there is, or rejected at once so
 * that its client retries when there is capacity and admitted requests meet their latency target.
 * Pure functions, safe on any thread.
 */
public final class AdmissionPolicy {
  /**
   * Of the latency target, until the first token. A short queue keeps a server as busy as a long
   * one and leaves time for what the estimate does not cover.
   */
  private static final double MAX_WAIT_RATIO_SHARED_LOAD = 0.5;

  /** The same where the wait follows from a load that the server reported some time ago. */
  private static final double MAX_WAIT_RATIO_REPORTED_LOAD = 2;

  private AdmissionPolicy() {}

  /**
   * Estimate for the server that would get the request.
   *
   * @param waitMs until the prompt is read there; the request's own prompt does not count, since
   *     long ones would be rejected even by idle servers
   * @param fromSharedLoad whether the estimate rests on the present load of all gateways
   */
  public record Estimate(double waitMs, boolean fromSharedLoad) {}

  /**
   * Whether to reject the request.
   *
   * @param latencyTargetMs of the route, or 0 for none: nothing is rejected then
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
