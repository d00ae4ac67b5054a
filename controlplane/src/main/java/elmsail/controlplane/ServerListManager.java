package elmsail.controlplane;

import elmsail.config.watch.ConfigWatcher;
import elmsail.config.watch.WatchServer;
import java.util.Optional;

/**
 * Publishes the list of model servers to the processes that watch this node: the list that this
 * node read from the platform, or a newer list from another control-plane node. Kept in memory
 * only; runs on the event loop.
 */
final class ServerListManager {
  private final WatchServer watchServer;
  private final ConfigWatcher configWatcher;
  private final Optional<ServerDiscovery> discovery;

  /**
   * Creates a manager that does nothing before {@link #start()}.
   *
   * @param watchServer serves this node's state to the processes that watch it
   * @param configWatcher watches the other control-plane nodes
   * @param discovery polls the platform while this node holds the singleton lease; empty if the
   *     settings name no platform
   */
  ServerListManager(
      WatchServer watchServer, ConfigWatcher configWatcher, Optional<ServerDiscovery> discovery) {
    this.watchServer = watchServer;
    this.configWatcher = configWatcher;
    this.discovery = discovery;
  }

  void start() {
    discovery.ifPresent(ServerDiscovery::start);
  }

  void close() {
    discovery.ifPresent(ServerDiscovery::close);
  }

  /** Publishes the list of another control-plane node if it is newer. */
  void relayFromPeers() {
    if (configWatcher.serverListBytes() != null) {
      watchServer.setServers(
          configWatcher.serverListEpoch(),
          configWatcher.serverListVersion(),
          configWatcher.serverListBytes(),
          configWatcher.serverListFetchedAtMs());
    }
  }
}
