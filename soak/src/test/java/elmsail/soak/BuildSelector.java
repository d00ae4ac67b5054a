package elmsail.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Selects the build that each process is started from. Without a second jar all processes are of
 * the current build. With one the fleet is mixed, as in a rolling upgrade: the processes of every
 * second machine begin in the other build, and after a kill a process may come back in either one.
 * The selection of a process depends on the seed and on its own earlier starts alone.
 *
 * <p>Safe for use by any thread.
 */
final class BuildSelector {
  /** System property: the path of the other build's jar with all its dependencies. */
  static final String OTHER_JAR = "soak.otherJar";

  /** System property: {@code true} starts all processes from the other jar, for comparison. */
  static final String OTHER_ONLY = "soak.otherOnly";

  private final long seed;
  private final List<Machine> machines;
  private final Path otherJar;
  private final boolean otherOnly;
  private final Map<String, Random> randoms = new HashMap<>();
  private final Map<String, Build> running = new HashMap<>();
  private int starts;
  private int upgrades;
  private int downgrades;

  /**
   * @param machines in the order in which they alternate between the builds
   * @param otherJar null for a fleet of the current build
   * @param otherOnly whether all processes are of the other build; needs {@code otherJar}
   */
  BuildSelector(long seed, List<Machine> machines, Path otherJar, boolean otherOnly) {
    if (otherOnly && otherJar == null) {
      throw new IllegalArgumentException(OTHER_ONLY + " needs " + OTHER_JAR);
    }
    this.seed = seed;
    this.machines = List.copyOf(machines);
    this.otherJar = otherJar;
    this.otherOnly = otherOnly;
  }

  /**
   * The selector that the system properties ask for.
   *
   * @throws IllegalArgumentException if the jar does not exist
   */
  static BuildSelector ofSystemProperties(long seed, List<Machine> machines) {
    String jar = System.getProperty(OTHER_JAR);
    if (jar != null && !Files.isRegularFile(Path.of(jar))) {
      throw new IllegalArgumentException(OTHER_JAR + " names no file: " + jar);
    }
    return new BuildSelector(
        seed,
        machines,
        jar == null ? null : Path.of(jar).toAbsolutePath(),
        Boolean.getBoolean(OTHER_ONLY));
  }

  /** The other build's jar, or null if there is none. */
  Path otherJar() {
    return otherJar;
  }

  /** Selects the build of a process that is about to start. */
  synchronized Build select(Topology.Node node) {
    Build selected = buildFor(node);
    Build before = running.put(node.name(), selected);
    starts++;
    if (before == Build.OTHER && selected == Build.CURRENT) {
      upgrades++;
    }
    if (before == Build.CURRENT && selected == Build.OTHER) {
      downgrades++;
    }
    return selected;
  }

  private Build buildFor(Topology.Node node) {
    if (otherJar == null) {
      return Build.CURRENT;
    }
    if (otherOnly) {
      return Build.OTHER;
    }
    if (!running.containsKey(node.name())) {
      return isEven(machines.indexOf(node.machine()) + seed) ? Build.CURRENT : Build.OTHER;
    }
    Random random =
        randoms.computeIfAbsent(node.name(), name -> new Random(31 * seed + name.hashCode()));
    return random.nextBoolean() ? Build.CURRENT : Build.OTHER;
  }

  private static boolean isEven(long number) {
    return number % 2 == 0;
  }

  /** What the run's line says of the builds; empty for a fleet of the current build. */
  synchronized String summary() {
    if (otherJar == null) {
      return "";
    }
    return "; builds: starts "
        + starts
        + ", upgrades "
        + upgrades
        + ", downgrades "
        + downgrades
        + ", running "
        + count(Build.CURRENT)
        + " current and "
        + count(Build.OTHER)
        + " other";
  }

  private long count(Build build) {
    return running.values().stream().filter(one -> one == build).count();
  }
}
