package elmsail.config;

import elmsail.runtime.Settings;

/**
 * Whether a request may be admitted by its key at this moment. Where keys have to be revoked
 * everywhere ({@link Settings.Bounds#revokeMs}), a process that has lost touch with the control
 * plane must stop admitting them in time, as it cannot know which ones were removed since.
 *
 * <p>Why it holds: a request that is admitted at D finds that nothing newer than this process's
 * configuration was acknowledged before D - {@code revokeMs} + {@link #SAFETY_MARGIN_MS} ({@link
 * ClusterState#configConfirmedAgeMs}). If the acknowledgement of a key's removal was more than
 * {@code revokeMs} before the client sent the request, it was that much before D as well, so the
 * configuration here is at least as new and does not have the key. To be asked after a request was
 * received, and again before each further attempt; what is sent afterwards, however late, is no
 * concern of the argument. Owned by the event loop.
 */
public final class RevocationBound {
  /** For the rounding of three times to whole ms and the drift of two clocks over the bound. */
  static final long SAFETY_MARGIN_MS = 100;

  private final ClusterState clusterState;
  private final long maxAgeMs;

  /**
   * Creates the bound of a process.
   *
   * @param revokeMs as of {@link Settings.Bounds#revokeMs}; 0 if there is no bound
   */
  public RevocationBound(ClusterState clusterState, long revokeMs) {
    this.clusterState = clusterState;
    maxAgeMs = revokeMs == 0 ? Long.MAX_VALUE : Math.max(0, revokeMs - SAFETY_MARGIN_MS);
  }

  /** Whether keys may be admitted now; if not, the request is refused and has not run. */
  public boolean mayAdmitKeys() {
    return maxAgeMs == Long.MAX_VALUE || clusterState.configConfirmedAgeMs() <= maxAgeMs;
  }
}
