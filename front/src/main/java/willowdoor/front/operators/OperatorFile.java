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
 * What operators have asked for, in a small file that a front door's processes share: the one that
 * serves and the one that replaces it. A file that cannot be read is logged, and leaves things as
 * they are.
 */
public final class OperatorFile {

  private static final Logger LOG = Logger.getLogger(OperatorFile.class.getName());
  private static final JsonFactory JSON = new JsonFactory();

  /** The operators' drain, and the template servers that they have taken out. */
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

  /** What was last read or written, and what the file system said of the file then. */
  private State state = State.NONE;

  private Object version;

  public OperatorFile(Path file) {
    this.file = file;
  }

  /** What is in the file now if that changed since it was last looked at, else what it was. */
  public State refresh() {
    Object found = version();
    if (!Objects.equals(found, version)) {
      version = found;
      state = read(state);
    }
    return state;
  }

  /** Changes the file, whole or not at all; what the other process wrote meanwhile is kept. */
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
      LOG.log(Level.SEVERE, "cannot look at " + file, e);
      return null;
    }
  }

  private State read(State otherwise) {
    try (JsonParser in = JSON.createParser(Files.readAllBytes(file))) {
      in.nextToken();
      Map<String, Object> fields = JsonFields.object(in);
      if (!(fields.get("drained") instanceof Boolean drained)
          || !(fields.get("excluded") instanceof List<?> hosts)) {
        throw new IOException("it lacks 'drained' or 'excluded'");
      }
      Set<String> excluded = new TreeSet<>();
      for (Object host : hosts) {
        if (!(host instanceof String name)) {
          throw new IOException("'excluded' holds what is no name");
        }
        excluded.add(name);
      }
      return new State(drained, excluded);
    } catch (IOException e) {
      LOG.severe(() -> "operators' calls stay as they were, as " + file + " cannot be read: " + e);
      return otherwise;
    }
  }
}
