package elmsail.soak;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import willowdoor.lab.fleet.Loopback;

/** One real process of the cluster: its files, its log, and the signals that it receives. */
final class NodeProcess {
  private static final long SIGNAL_TIMEOUT_MS = 10_000;
  private static final List<String> FLAGS =
      List.of(
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-Xss512k",
          "-XX:-UsePerfData",
          "-Xms32m",
          "-Xmx96m",
          "-XX:MaxDirectMemorySize=64m",
          "-XX:+ExitOnOutOfMemoryError",
          "-Dio.netty.leakDetection.level=disabled",
          "-Dio.netty.jfr.enabled=false",
          "-Dio.netty.bootstrap.extensions=serviceload");

  private final Topology topology;
  private final Topology.Node node;
  private final Path folder;
  private final BuildSelector builds;
  private final Findings findings;
  private final SoakClock clock;
  private Process process;

  /** The processes that were told to stop, or killed. */
  private final Set<Process> expectedToExit = new HashSet<>();

  private boolean suspended;
  private long logBytesAtStart;

  NodeProcess(
      Topology topology,
      Topology.Node node,
      Path folder,
      BuildSelector builds,
      Findings findings,
      SoakClock clock) {
    this.topology = topology;
    this.node = node;
    this.folder = folder.toAbsolutePath();
    this.builds = builds;
    this.findings = findings;
    this.clock = clock;
  }

  Path log() {
    return folder.resolve(node.name() + ".log");
  }

  private Path data() {
    return folder.resolve(node.name() + "-data");
  }

  synchronized void start(boolean firstStart) throws IOException {
    Files.createDirectories(data());
    Path settings = folder.resolve(node.name() + ".json");
    Files.write(settings, topology.settings(node, firstStart, data()));
    Build build = builds.select(node);
    noteInLog("--- starts from build " + build);
    logBytesAtStart = Files.size(log());
    List<String> java = new ArrayList<>();
    java.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    java.addAll(FLAGS);
    ClassDataArchive archive = ClassDataArchive.of(java, classPath(build), node.role().program);
    List<String> command = new ArrayList<>(java);
    command.add(archive.option());
    command.add("-D" + RelayedConnects.OWN_IP + "=" + topology.ip(node.machine()));
    command.add("-D" + RelayedConnects.FACES + "=" + relayedAddresses());
    command.addAll(List.of("-cp", archive.classPath(), node.role().program));
    command.addAll(List.of("--settings", settings.toString()));
    suspended = false;
    Process started =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()))
            .start();
    process = started;
    started.onExit().thenAccept(this::onExit);
  }

  private synchronized void onExit(Process over) {
    findings.check(
        Invariant.PROCESS_LIVES,
        expectedToExit.remove(over),
        clock.nowMs(),
        node.name() + " ended by itself with " + over.exitValue());
  }

  private String relayedAddresses() {
    return topology.nodes().stream()
        .map(
            other ->
                Loopback.text(topology.inner(other))
                    + "="
                    + Loopback.text(topology.relayAddress(node, other)))
        .collect(Collectors.joining(","));
  }

  private void noteInLog(String line) throws IOException {
    Files.writeString(
        log(), line + System.lineSeparator(), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
  }

  private String classPath(Build build) {
    return build == Build.CURRENT ? currentClassPath() : otherClassPath();
  }

  /** The other build's jar, and of the soak only the extension that Netty loads. */
  private String otherClassPath() {
    String extension =
        RelayedConnects.class.getProtectionDomain().getCodeSource().getLocation().getPath();
    return builds.otherJar() + File.pathSeparator + extension;
  }

  /** The tests' class path without the lab, whose jar holds copies of the libraries. */
  private static String currentClassPath() {
    String whole =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    return Stream.of(whole.split(File.pathSeparator))
        .filter(entry -> !entry.contains("willowdoor-lab") && !entry.contains("/lab/target/"))
        .collect(Collectors.joining(File.pathSeparator));
  }

  /** Asks the process to stop (SIGTERM); it goes on serving for a while. */
  synchronized void terminate() throws IOException {
    expectedToExit.add(process);
    signal("TERM");
  }

  /** Writes other seeds into the settings file, and tells the process so (SIGHUP). */
  synchronized void reload(List<Topology.Node> seeds) throws IOException {
    Path settings = folder.resolve(node.name() + ".json");
    Files.write(settings, topology.settings(node, false, data(), seeds));
    signal("HUP");
  }

  /** Whether the process that was started last has written to its log. */
  synchronized boolean hasReportedStart() throws IOException {
    return Files.size(log()) > logBytesAtStart;
  }

  synchronized boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Kills the process (SIGKILL) and waits for its end. */
  synchronized void kill() throws IOException {
    Process old = process;
    if (old == null) {
      return;
    }
    expectedToExit.add(old);
    old.destroyForcibly();
    try {
      if (!old.waitFor(SIGNAL_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
        throw new IOException(node.name() + " does not end");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  synchronized void suspend() throws IOException {
    suspended = true;
    signal("STOP");
  }

  synchronized void resume() throws IOException {
    suspended = false;
    signal("CONT");
  }

  /** The id of the process; empty while it is down or suspended. */
  synchronized Optional<Long> runningPid() {
    return process == null || suspended || !process.isAlive()
        ? Optional.empty()
        : Optional.of(process.pid());
  }

  private synchronized void signal(String name) throws IOException {
    if (process == null || !process.isAlive()) {
      return;
    }
    Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
    try {
      if (!kill.waitFor(SIGNAL_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
        throw new IOException("kill does not end");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  /** Deletes the data directory's files; only while the process is down. */
  void deleteData() throws IOException {
    if (!Files.exists(data())) {
      return;
    }
    try (Stream<Path> files = Files.walk(data())) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
