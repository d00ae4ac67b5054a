package elmsail.config;

import elmsail.rpc.messages.ClusterView;
import java.util.List;

/**
 * The cluster state that this process currently knows. Updated and read only on the process's event
 * loop.
 */
public interface ClusterState {
  /** The newest configuration received; null before the first. Its version never decreases. */
  RoutingConfig config();

  /**
   * An upper bound, in ms of the steady clock, of the time since {@link #config()} was the newest
   * committed configuration; Long.MAX_VALUE while no bound is known.
   */
  long configConfirmedAgeMs();

  /** All listed servers, draining ones included; empty before the first list. Unmodifiable. */
  List<ServerEntry> servers();

  /** Time since the list was fetched from the platform, in ms; Long.MAX_VALUE before the first. */
  long serverListAgeMs();

  /**
   * The cluster membership; never null, but its voter sets may be empty. Callers must not modify
   * it.
   */
  ClusterView view();

  /**
   * Adds a listener that runs on the event loop after a change of the configuration, the server
   * list or the view.
   */
  void addListener(Runnable listener);
}
