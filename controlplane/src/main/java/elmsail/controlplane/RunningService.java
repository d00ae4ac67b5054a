package elmsail.controlplane;

import elmsail.runtime.Settings;
import java.util.concurrent.CompletableFuture;

/**
 * A running control-plane process. The caller owns the RPC endpoint, the records and the event
 * loop, and closes them after {@link #shutdown()}. All methods are called on the event loop.
 */
public interface RunningService {

  /** Applies the seed addresses of changed settings; all other settings require a restart. */
  void onSettingsChanged(Settings settings);

  /** Stops serving; the future completes when the service has stopped, and never fails. */
  CompletableFuture<Void> shutdown();
}
