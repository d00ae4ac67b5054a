package elmsail.config;

import elmsail.runtime.Settings;

/**
 * Decides whether a request may currently be admitted by its key. If removed keys have to be
 * rejected everywhere within a bound ({@link Settings.Bounds#revokeMs}), a process that loses
 * contact with the control plane must stop admitting keys in time, because it does not receive
 * removals.
 *
 * <p>Why the bound holds: let D be the time at which a request is admitted. No configuration newer
 * than that of this process was acknowledged before D - {@code revokeMs} + {@link
 * #SAFETY_MARGIN_MS} ({@link ClusterState#configConfirmedAgeMs}). If the removal of a key was
 * acknowledged more than {@code revokeMs} before the client sent the request, the acknowledgement
 * was also more than {@code revokeMs} before D. The configuration of this process is then at least
 * as new as the removal and does not contain the key. Callers check after they receive a request
 * and again before each further attempt. The proof does not depend on when the request is sent on
 * after the check. Owned by the event loop.
 */
public final class RevocationBound {
  /**
   * Covers the rounding of three times to whole ms, and the drift between two clocks within the
   * bound.
   */
  static final long SAFETY_MARGIN_MS = 100;

  private final ClusterState clusterState;
  private final long maxAgeMs;

  /**
   * Creates the check for a process.
   *
   * @param revokeMs the value of {@link Settings.Bounds#revokeMs}; 0 if there is no bound
   */
  public RevocationBound(ClusterState clusterState, long revokeMs) {
    this.clusterState = clusterState;
    maxAgeMs = revokeMs == 0 ? Long.MAX_VALUE : Math.max(0, revokeMs - SAFETY_MARGIN_MS);
  }

  /** Whether keys may be admitted now; if not, the caller rejects the request before it runs. */
  public boolean mayAdmitKeys() {
    return maxAgeMs == Long.MAX_VALUE || clusterState.configConfirmedAgeMs() <= maxAgeMs;
  }
}
