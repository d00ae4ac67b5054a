package elmsail.config;

import elmsail.rpc.messages.ClusterView;
import java.util.List;

/**
 * What this process knows of the cluster at present. Updated and read on the process's event loop
 * only.
 */
public interface ClusterState {
  /** The newest configuration received; null before the first. Its version never goes down. */
  RoutingConfig config();

  /**
   * An upper bound of the time since {@link #config()} was the newest committed configuration, by
   * the steady clock at the moment of the call; Long.MAX_VALUE while that is not known.
   */
  long configConfirmedAgeMs();

  /** All listed servers, draining ones included; empty before the first list. Unmodifiable. */
  List<ServerEntry> servers();

  /** Time since the list was fetched from the platform, in ms; Long.MAX_VALUE before the first. */
  long serverListAgeMs();

  /** The cluster membership; never null, its voter sets may be empty. Not to be changed. */
  ClusterView view();

  /** Adds a listener that is called on the loop after any of these changed. */
  void addListener(Runnable listener);
}
