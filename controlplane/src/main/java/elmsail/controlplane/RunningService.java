package elmsail.controlplane;

import elmsail.runtime.Settings;
import java.util.concurrent.CompletableFuture;

/**
 * A started process of the control plane. The RPC endpoint, the records and the event loop belong
 * to the caller, who closes them after {@link #shutdown()}. All methods are called on the event
 * loop.
 */
public interface RunningService {

  /** Takes over the seed addresses of changed settings; all others need a restart. */
  void onSettingsChanged(Settings settings);

  /** Stops serving; completes once that is done, and never fails. */
  CompletableFuture<Void> shutdown();
}
