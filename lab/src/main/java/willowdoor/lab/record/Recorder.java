package willowdoor.lab.record;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.BufferedWriter;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes what is observed, a JSON object a line, from any thread. A run whose records cannot be
 * written has failed: the first error is kept and thrown by {@link #close}.
 */
public final class Recorder implements Closeable {

  public static final String FILE = "records.jsonl";
  private static final Logger LOG = LoggerFactory.getLogger(Recorder.class);

  private final LabClock clock;
  private final Writer out;
  private final ObjectWriter json =
      new ObjectMapper().writerFor(Entry.class).without(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
  private IOException failed;
  private boolean closed;

  public Recorder(LabClock clock, Path directory) throws IOException {
    this.clock = clock;
    Files.createDirectories(directory);
    out = new BufferedWriter(Files.newBufferedWriter(directory.resolve(FILE)), 1 << 16);
  }

  public LabClock clock() {
    return clock;
  }

  public synchronized void write(Entry entry) {
    if (closed || failed != null) {
      return;
    }
    try {
      out.write(json.writeValueAsString(entry));
      out.write('\n');
    } catch (IOException e) {
      failed = e;
      LOG.error("records cannot be written any more", e);
    }
  }

  /**
   * Puts what was written so far into the file, for whoever reads along or outlives this process.
   */
  public synchronized void flush() {
    try {
      if (!closed) {
        out.flush();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public synchronized void close() throws IOException {
    if (!closed) {
      closed = true;
      out.close();
    }
    if (failed != null) {
      throw new IOException("the records are not whole", failed);
    }
  }
}
