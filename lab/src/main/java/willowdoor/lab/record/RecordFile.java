package willowdoor.lab.record;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;

/** Reads a run's records back, line by line. */
public final class RecordFile {

  private RecordFile() {}

  /**
   * Gives each record in the order of the file; a line that is none is an IOException with its
   * number.
   */
  public static void read(Path directory, Consumer<Entry> to) throws IOException {
    ObjectReader json = new ObjectMapper().readerFor(Entry.class);
    Path file = directory.resolve(Recorder.FILE);
    try (BufferedReader in = Files.newBufferedReader(file)) {
      int number = 0;
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        number++;
        try {
          to.accept(json.readValue(line));
        } catch (JsonProcessingException e) {
          throw new IOException(file + ", line " + number + ": " + e.getOriginalMessage(), e);
        }
      }
    }
  }
}
