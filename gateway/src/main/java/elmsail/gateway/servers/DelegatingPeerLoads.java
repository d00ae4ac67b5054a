package elmsail.gateway.servers;

import elmsail.gateway.load.PeerLoads;
import elmsail.gateway.load.ServerLoad;

/** Loads of other gateways from a source that is set after construction; none before. */
final class DelegatingPeerLoads implements PeerLoads {
  private PeerLoads delegate = PeerLoads.NONE;
  private Runnable onLoadChanged = () -> {};

  /**
   * Uses this source from here on.
   *
   * @param newOnLoadChanged runs when this gateway's own load has changed
   */
  void delegateTo(PeerLoads newDelegate, Runnable newOnLoadChanged) {
    delegate = newDelegate;
    onLoadChanged = newOnLoadChanged;
  }

  /** Says that this gateway's own load has changed. */
  void notifyLoadChanged() {
    onLoadChanged.run();
  }

  @Override
  public boolean isAvailable() {
    return delegate.isAvailable();
  }

  @Override
  public ServerLoad loadOf(String serverId) {
    return delegate.loadOf(serverId);
  }
}
