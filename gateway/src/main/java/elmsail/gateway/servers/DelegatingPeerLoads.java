package elmsail.gateway.servers;

import elmsail.gateway.load.PeerLoads;
import elmsail.gateway.load.ServerLoad;

/** The other gateways' loads, by whoever tells them at the time; nobody at first. */
final class DelegatingPeerLoads implements PeerLoads {
  private PeerLoads delegate = PeerLoads.NONE;
  private Runnable onLoadChanged = () -> {};

  /** From now on these; {@code loadChanged} is called when what is open here has changed. */
  void delegateTo(PeerLoads newDelegate, Runnable newOnLoadChanged) {
    delegate = newDelegate;
    onLoadChanged = newOnLoadChanged;
  }

  /** What is open here has changed. */
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
