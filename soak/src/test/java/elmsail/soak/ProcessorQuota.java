package elmsail.soak;

import java.io.IOException;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * Lets each process run for a share of each tenth of a second and stops it for the rest, by SIGSTOP
 * and SIGCONT in turns: the worst that a quota of the processor does to a busy process. Off unless
 * the system property {@code soak.quota} names a share. The processes' periods are not aligned.
 */
final class ProcessorQuota implements AutoCloseable {
  private static final String SHARE = "soak.quota";
  private static final long PERIOD_MS = 100;

  private final double share;
  private final Supplier<Map<String, Long>> runningPids;
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final AtomicLong pauses = new AtomicLong();

  /** A shell whose own {@code kill} sends the signals: a process a signal would be too dear. */
  private final Process signaller;

  private final Writer commands;

  /**
   * Begins, if the property is set.
   *
   * @param names of all processes
   * @param runningPids the process id by name of each process that is neither down nor suspended
   */
  ProcessorQuota(List<String> names, Supplier<Map<String, Long>> runningPids) throws IOException {
    this.runningPids = runningPids;
    share = Double.parseDouble(System.getProperty(SHARE, "1"));
    signaller =
        new ProcessBuilder("/bin/sh", "-c", "while read -r line; do kill $line 2>/dev/null; done")
            .start();
    commands = new OutputStreamWriter(signaller.getOutputStream(), StandardCharsets.US_ASCII);
    if (share < 1) {
      for (int i = 0; i < names.size(); i++) {
        schedule(names.get(i), i * PERIOD_MS / names.size());
      }
    }
  }

  private void schedule(String name, long offsetMs) {
    timer.scheduleAtFixedRate(() -> stop(name), offsetMs, PERIOD_MS, TimeUnit.MILLISECONDS);
    timer.scheduleAtFixedRate(
        () -> resume(name),
        offsetMs + Math.round((1 - share) * PERIOD_MS),
        PERIOD_MS,
        TimeUnit.MILLISECONDS);
  }

  private void stop(String name) {
    pauses.incrementAndGet();
    signal(name, "-STOP");
  }

  private void resume(String name) {
    signal(name, "-CONT");
  }

  private void signal(String name, String signal) {
    Long pid = runningPids.get().get(name);
    if (pid == null) {
      return;
    }
    try {
      commands.write(signal + " " + pid + "\n");
      commands.flush();
    } catch (IOException e) {
      timer.shutdown();
    }
  }

  @Override
  public void close() throws IOException {
    timer.shutdownNow();
    for (Long pid : runningPids.get().values()) {
      commands.write("-CONT " + pid + "\n");
    }
    commands.close();
    try {
      signaller.waitFor(1, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    signaller.destroy();
  }

  /** For the run's line; empty without a quota. */
  String summary() {
    return share < 1 ? "; quota " + share + " of a core, " + pauses + " pauses" : "";
  }
}
