package elmsail.gateway.servers;

import elmsail.gateway.load.PeerLoads;
import elmsail.gateway.load.ServerLoad;

/**
 * Peer loads from a source that is set after construction. No peer loads are available before that.
 */
final class DelegatingPeerLoads implements PeerLoads {
  private PeerLoads delegate = PeerLoads.NONE;
  private Runnable onLoadChanged = () -> {};

  /**
   * Sets the source of the peer loads.
   *
   * @param newOnLoadChanged runs when this gateway's own load has changed
   */
  void delegateTo(PeerLoads newDelegate, Runnable newOnLoadChanged) {
    delegate = newDelegate;
    onLoadChanged = newOnLoadChanged;
  }

  /** Notifies the listener that this gateway's own load has changed. */
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
