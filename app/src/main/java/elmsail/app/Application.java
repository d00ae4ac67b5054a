package elmsail.app;

import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.Settings;

/** What one of the programs does between its start and its end. */
interface Application {

  /** Its name on the command line and in logs. */
  String name();

  /**
   * Listens and joins the others; called on the loop. What it throws, with BAD_SETTINGS or not,
   * ends the process.
   */
  Instance start(Settings settings, NettyEventLoop loop);

  /** A program under way; called on the loop. */
  interface Instance {

    /** The settings have changed (SIGHUP, or the file by itself). */
    void onSettingsChanged(Settings settings);

    /**
     * SIGTERM came.
     *
     * @param ended to be run once nothing is left to do; the process then exits with 0
     */
    void shutDown(Runnable ended);
  }
}
