package willowdoor.lab.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * A small process that outlives this one, however this one ends: it is told the ids of the
 * processes that were started and of those that ended, and kills what is left once its input ends.
 */
final class Undertaker implements Closeable {

  private static final String SCRIPT =
      """
      trap '' INT TERM HUP
      pids=' '
      while read -r word pid; do
        case $word in
          started) pids="$pids$pid " ;;
          ended) pids="${pids%% $pid *} ${pids#* $pid }" ;;
        esac
      done
      for pid in $pids; do kill -KILL "$pid" 2>/dev/null; done
      """;

  private final Process process;
  private final OutputStream told;

  Undertaker() throws IOException {
    process =
        new ProcessBuilder("/bin/sh", "-c", SCRIPT)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    told = process.getOutputStream();
  }

  void started(long pid) throws IOException {
    tell("started " + pid);
  }

  void ended(long pid) throws IOException {
    tell("ended " + pid);
  }

  private synchronized void tell(String line) throws IOException {
    told.write((line + '\n').getBytes(StandardCharsets.US_ASCII));
    told.flush();
  }

  @Override
  public void close() throws IOException {
    told.close();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
