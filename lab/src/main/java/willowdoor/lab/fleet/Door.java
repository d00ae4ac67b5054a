package willowdoor.lab.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;
import willowdoor.lab.record.Entry;
import willowdoor.lab.record.LabClock;

/** One front door: its files, and the processes that serve under its name, one after the other. */
final class Door {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final String id;
  private final Path folder;
  private final LaunchLine launch;
  private final LabClock clock;
  private final Consumer<Entry.Life> ended;
  private Life life;

  /** One process. */
  private static final class Life {
    private final Process process;
    private final long begin;
    private long ready;
    private String how = "itself";
    private CompletableFuture<Void> over;

    Life(Process process, long begin) {
      this.process = process;
      this.begin = begin;
    }
  }

  /** Tells each process's life once it has ended. */
  Door(String id, Path folder, LaunchLine launch, LabClock clock, Consumer<Entry.Life> ended) {
    this.id = id;
    this.folder = folder.toAbsolutePath();
    this.launch = launch;
    this.clock = clock;
    this.ended = ended;
  }

  /** Starts the process with an empty folder for its temporary files; its id. */
  synchronized long start(ObjectNode config, Map<String, String> environment, List<String> flags)
      throws IOException {
    if (alive()) {
      throw new IOException(id + " runs already");
    }
    Path temporary = folder.resolve("tmp");
    empty(temporary);
    Path file = folder.resolve("config.json");
    Files.writeString(file, JSON.writeValueAsString(config));
    File log = folder.resolve("log.txt").toFile();
    ProcessBuilder builder =
        new ProcessBuilder(launch.command(temporary, flags))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    builder.environment().keySet().removeIf(name -> name.startsWith("GW_"));
    builder.environment().putAll(environment);
    builder.environment().put("GW_CONFIG", file.toString());
    builder.environment().put("TMPDIR", temporary.toString());
    Life begun = new Life(builder.start(), clock.nowUs());
    begun.process.getOutputStream().close();
    life = begun;
    begun.over = begun.process.onExit().thenAccept(p -> tell(begun));
    return begun.process.pid();
  }

  private void tell(Life over) {
    Entry.Life record;
    synchronized (this) {
      record =
          new Entry.Life(
              over.begin,
              clock.nowUs(),
              id,
              over.process.pid(),
              over.ready,
              over.how,
              over.process.exitValue());
    }
    ended.accept(record);
  }

  private static void empty(Path temporary) throws IOException {
    if (Files.exists(temporary)) {
      try (Stream<Path> files = Files.walk(temporary)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(file);
        }
      }
    }
    Files.createDirectories(temporary);
  }

  synchronized boolean alive() {
    return life != null && life.process.isAlive();
  }

  /** The process's id, or -1 where none runs. */
  synchronized long pid() {
    return alive() ? life.process.pid() : -1;
  }

  /** Marks this process as ready, once; false where it was, or where none runs. */
  synchronized boolean ready() {
    if (!alive() || life.ready > 0) {
      return false;
    }
    life.ready = clock.nowUs();
    return true;
  }

  synchronized boolean isReady() {
    return alive() && life.ready > 0;
  }

  /** Notes a signal that is about to be sent; the process's id, or -1 where none runs. */
  synchronized long signalled(String name) {
    if (!alive()) {
      return -1;
    }
    if (name.equals("KILL") || name.equals("TERM")) {
      life.how = life.how.equals("TERM") && name.equals("KILL") ? "TERM, KILL" : name;
    }
    return life.process.pid();
  }

  /** Ends the process whatever it is doing, and returns once its life was told. */
  void end() throws IOException {
    long pid = signalled("KILL");
    if (pid >= 0) {
      Signals.send("KILL", List.of(pid));
    }
    CompletableFuture<Void> over;
    synchronized (this) {
      over = life == null ? CompletableFuture.completedFuture(null) : life.over;
    }
    over.join();
  }

  /** The process that serves now, to wait for its end; null where none does. */
  synchronized Process process() {
    return alive() ? life.process : null;
  }
}
