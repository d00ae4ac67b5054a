package elmsail.app;

import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.Settings;

/** One of the programs that the launcher runs. All methods are called on the event loop. */
interface Application {

  /** The name on the command line and in logs. */
  String name();

  /**
   * Starts to listen and to join the cluster. May return before that is done; what then fails goes
   * to {@link ApplicationRunner#exitAfterFailure}. An exception ends the process; of an {@link
   * elmsail.runtime.ElmsailException} with INVALID_SETTINGS with {@link ExitCode#INVALID_USAGE}.
   */
  Instance start(Settings settings, NettyEventLoop loop);

  /** A started application. */
  interface Instance {

    /** Takes over what it can of changed settings (after SIGHUP, or a change of the file). */
    void onSettingsChanged(Settings settings);

    /**
     * Shuts down gracefully (after SIGTERM).
     *
     * @param onStopped to be run once nothing is left to do; the process then exits with 0
     */
    void shutDown(Runnable onStopped);
  }
}
