package elmsail.runtime;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles the platform's requests to a running process: SIGTERM stops it, SIGHUP or a modified
 * settings file reloads its settings. Both run on the event loop. Which changes are in force and
 * which need a restart is logged by name. A settings file that cannot be used is logged, and the
 * previous settings stay.
 */
public final class ProcessSignals {

  private static final Logger LOG = LoggerFactory.getLogger(ProcessSignals.class);
  private static final long FILE_CHECK_INTERVAL_MS = 2_000;

  private final Timers timers;
  private final Path file;
  private final Runnable onTerminate;
  private final Consumer<Settings> onSettingsChanged;
  private Settings current;
  private FileTime lastModified;
  private boolean terminating;

  /**
   * @param current the settings read at the start
   * @param onTerminate run once, on the loop, at the first SIGTERM
   * @param onSettingsChanged receives new settings, on the loop, if they differ from the previous
   */
  public ProcessSignals(
      Timers timers,
      Path file,
      Settings current,
      Runnable onTerminate,
      Consumer<Settings> onSettingsChanged) {
    this.timers = timers;
    this.file = file;
    this.current = current;
    this.onTerminate = onTerminate;
    this.onSettingsChanged = onSettingsChanged;
    lastModified = readLastModified();
  }

  /** Registers the signal handlers and checks the file's modification time every 2 s. */
  public ProcessSignals start() {
    Signals.handle("TERM", () -> timers.execute(this::onTerminate));
    Signals.handle("HUP", () -> timers.execute(this::reload));
    if (EarlyHangup.takeReceived()) {
      timers.execute(this::reload);
    }
    timers.schedule(FILE_CHECK_INTERVAL_MS, this::checkFile);
    return this;
  }

  /** As on SIGTERM; on the loop. */
  public void onTerminate() {
    if (!terminating) {
      terminating = true;
      LOG.info("SIGTERM received, shutting down");
      onTerminate.run();
    }
  }

  private void checkFile() {
    timers.schedule(FILE_CHECK_INTERVAL_MS, this::checkFile);
    FileTime now = readLastModified();
    if (now != null && !now.equals(lastModified)) {
      reload();
    }
  }

  /** As on SIGHUP; on the loop. */
  public void reload() {
    lastModified = readLastModified();
    Settings next;
    try {
      next = SettingsFile.read(file);
    } catch (ElmsailException e) {
      // It may have been half written: read again at the next check, whatever its modification
      // time.
      lastModified = null;
      LOG.warn("keeping the settings as they were: {}", e.getMessage());
      return;
    }
    if (!next.equals(current)) {
      logChanges(SettingsDiff.changedFields(current, next));
      current = next;
      onSettingsChanged.accept(next);
    }
  }

  private static void logChanges(List<String> changed) {
    List<String> needRestart = new ArrayList<>(changed);
    if (needRestart.remove(SettingsDiff.SEEDS)) {
      LOG.info("settings have changed: {} is in force", SettingsDiff.SEEDS);
    }
    if (!needRestart.isEmpty()) {
      LOG.warn(
          "settings have changed: restart this process to put {} in force",
          String.join(", ", needRestart));
    }
  }

  private FileTime readLastModified() {
    try {
      return Files.getLastModifiedTime(file);
    } catch (IOException e) {
      return null;
    }
  }
}
