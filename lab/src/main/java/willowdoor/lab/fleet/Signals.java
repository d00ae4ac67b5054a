package willowdoor.lab.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Signals to processes, by their ids. */
final class Signals {

  private Signals() {}

  /** Sends it to all of them at once; one that is gone by then is passed over. */
  static void send(String signal, List<Long> pids) throws IOException {
    List<String> command = new ArrayList<>(List.of("kill", "-" + signal));
    pids.forEach(pid -> command.add(pid.toString()));
    Process kill =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    try {
      if (!kill.waitFor(10, TimeUnit.SECONDS)) {
        kill.destroyForcibly();
        throw new IOException(command + " does not end");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  /**
   * Lets a process run for a share of each tenth of a second only, from now until the time is over;
   * then it runs on. The helper ends by itself, also when the process does.
   */
  static Process starve(long pid, double share, long forMs) throws IOException {
    long rounds = Math.max(1, forMs / 100);
    String off = String.valueOf(0.1 * (1 - share));
    String on = String.valueOf(0.1 * share);
    return new ProcessBuilder(
            "/bin/sh",
            "-c",
            """
        trap 'kill -CONT $1; exit' INT TERM
        i=0
        while [ $i -lt $2 ] && kill -STOP $1; do
          sleep $3; kill -CONT $1 || exit; sleep $4; i=$((i + 1))
        done
        """,
            "starve",
            Long.toString(pid),
            Long.toString(rounds),
            off,
            on)
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
        .start();
  }
}
