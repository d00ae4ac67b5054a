package willowdoor.front.operators;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.wire.JsonFields;

/**
 * The operators' requests, in a small file that the processes of one gateway share: the serving
 * process and its replacement. A file that cannot be read is logged and changes nothing.
 */
public final class OperatorFile {

  private static final Logger LOG = Logger.getLogger(OperatorFile.class.getName());
  private static final JsonFactory JSON = new JsonFactory();

  /** Whether operators drain the gateway, and the template servers that they exclude. */
  public record State(boolean drained, Set<String> excluded) {

    public static final State NONE = new State(false, Set.of());

    public State drained(boolean on) {
      return new State(on, excluded);
    }

    public State excluded(String host, boolean out) {
      Set<String> hosts = new TreeSet<>(excluded);
      if (out) {
        hosts.add(host);
      } else {
        hosts.remove(host);
      }
      return new State(drained, hosts);
    }
  }

  private final Path file;

  /** The state last read or written, and the file's attributes at that time. */
  private State state = State.NONE;

  private Object version;

  public OperatorFile(Path file) {
    this.file = file;
  }

  /** Returns the file's state: rereads the file if its attributes have changed. */
  public State refresh() {
    Object found = version();
    if (!Objects.equals(found, version)) {
      version = found;
      state = read(state);
    }
    return state;
  }

  /** Changes the file atomically and keeps what the other process wrote meanwhile. */
  public State change(UnaryOperator<State> change) throws IOException {
    try (FileChannel channel =
            FileChannel.open(beside(".lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock held = channel.lock()) {
      Objects.requireNonNull(held);
      State changed = change.apply(refresh());
      Path whole = beside(".new");
      try (OutputStream out = Files.newOutputStream(whole);
          JsonGenerator json = JSON.createGenerator(out)) {
        json.writeStartObject();
        json.writeBooleanField("drained", changed.drained());
        json.writeArrayFieldStart("excluded");
        for (String host : changed.excluded()) {
          json.writeString(host);
        }
        json.writeEndArray();
        json.writeEndObject();
      }
      Files.move(whole, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      state = changed;
      version = version();
      return state;
    }
  }

  private Path beside(String ending) {
    return file.resolveSibling(file.getFileName() + ending);
  }

  private Object version() {
    try {
      BasicFileAttributes is = Files.readAttributes(file, BasicFileAttributes.class);
      return List.of(is.lastModifiedTime(), is.size(), String.valueOf(is.fileKey()));
    } catch (NoSuchFileException e) {
      return null;
    } catch (IOException e) {
      LOG.log(Level.SEVERE, "cannot read the attributes of operators' file " + file, e);
      return null;
    }
  }

  private State read(State otherwise) {
    try (JsonParser in = JSON.createParser(Files.readAllBytes(file))) {
      in.nextToken();
      Map<String, Object> fields = JsonFields.object(in);
      if (!(fields.get("drained") instanceof Boolean drained)
          || !(fields.get("excluded") instanceof List<?> hosts)) {
        throw new IOException("field 'drained' or 'excluded' is missing or invalid");
      }
      Set<String> excluded = new TreeSet<>();
      for (Object host : hosts) {
        if (!(host instanceof String name)) {
          throw new IOException("'excluded' contains an item that is not a string");
        }
        excluded.add(name);
      }
      return new State(drained, excluded);
    } catch (IOException e) {
      LOG.severe(
          () -> "operators' settings stay unchanged because " + file + " cannot be read: " + e);
      return otherwise;
    }
  }
}
