package elmsail.config;

import elmsail.rpc.messages.ClusterView;
import java.util.List;

/**
 * What this process knows at present; kept up by the watcher on the loop, read anywhere on the
 * loop.
 */
public interface ClusterState {
  /**
   * The newest configuration that this process has seen, or null before the first: never an older
   * one again.
   */
  RoutingConfig config();

  /** All servers listed, closing ones too; empty before the first list. */
  List<ServerEntry> servers();

  /** How long ago the list was taken from the platform, in ms; Long.MAX_VALUE before the first. */
  long serverListAgeMs();

  /** Never null; its voter sets may be empty. */
  ClusterView view();

  /** Called on the loop after any of these has changed. */
  void addListener(Runnable listener);
}
