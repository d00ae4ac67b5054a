package elmsail.runtime;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the platform says to a running process: SIGTERM, and SIGHUP or a changed settings file. Both
 * are passed onto the loop. A settings file that cannot be used is logged, and the settings before
 * it stay.
 */
public final class ProcessSignals {

  private static final Logger LOG = LoggerFactory.getLogger(ProcessSignals.class);
  private static final long LOOK_MS = 2_000;

  private final Timers timers;
  private final Path file;
  private final Runnable term;
  private final Consumer<Settings> changed;
  private Settings current;
  private FileTime seen;
  private boolean ending;

  /**
   * @param current as they were read at the start
   * @param term run once, on the loop, at the first SIGTERM
   * @param changed given the new settings, on the loop, where they differ from those before
   */
  public ProcessSignals(
      Timers timers, Path file, Settings current, Runnable term, Consumer<Settings> changed) {
    this.timers = timers;
    this.file = file;
    this.current = current;
    this.term = term;
    this.changed = changed;
    seen = modified();
  }

  /** Listens for the signals, and looks at the file's time now and then. */
  public ProcessSignals listen() {
    Signals.handle("TERM", () -> timers.soon(this::term));
    Signals.handle("HUP", () -> timers.soon(this::read));
    timers.after(LOOK_MS, this::look);
    return this;
  }

  /** As on SIGTERM; on the loop. */
  public void term() {
    if (!ending) {
      ending = true;
      LOG.info("asked to end");
      term.run();
    }
  }

  private void look() {
    timers.after(LOOK_MS, this::look);
    FileTime now = modified();
    if (now != null && !now.equals(seen)) {
      read();
    }
  }

  /** As on SIGHUP; on the loop. */
  public void read() {
    seen = modified();
    Settings next;
    try {
      next = SettingsFile.read(file);
    } catch (ElmsailException e) {
      // It may have been half written: looked at again, whatever its time says.
      seen = null;
      LOG.warn("keeping the settings as they were: {}", e.getMessage());
      return;
    }
    if (!next.equals(current)) {
      current = next;
      LOG.info("settings have changed");
      changed.accept(next);
    }
  }

  private FileTime modified() {
    try {
      return Files.getLastModifiedTime(file);
    } catch (IOException e) {
      return null;
    }
  }
}
