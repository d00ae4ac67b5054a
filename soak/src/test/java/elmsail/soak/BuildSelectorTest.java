package elmsail.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class BuildSelectorTest {
  private static final Path JAR = Path.of("other.jar");
  private static final List<Topology.Node> NODES = nodes();

  /** As {@link Topology} places them. */
  private static List<Topology.Node> nodes() {
    List<Topology.Node> nodes = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      Machine machine = new Machine("counter-" + i, "north", false);
      nodes.add(new Topology.Node("gateway-" + i, machine, ProcessRole.GATEWAY));
      nodes.add(new Topology.Node("control-" + i, machine, ProcessRole.CONTROL_PLANE));
    }
    for (int i = 1; i <= 4; i++) {
      Machine machine = new Machine("vault-" + i, "north", true);
      nodes.add(new Topology.Node("store-" + i, machine, ProcessRole.STORE));
    }
    return nodes;
  }

  private static BuildSelector selector(long seed, Path otherJar, boolean otherOnly) {
    List<Machine> machines = NODES.stream().map(Topology.Node::machine).distinct().toList();
    return new BuildSelector(seed, machines, otherJar, otherOnly);
  }

  private static List<Build> startAll(BuildSelector selector) {
    return NODES.stream().map(selector::select).toList();
  }

  private static List<Build> starts(BuildSelector selector, int rounds) {
    List<Build> builds = new ArrayList<>();
    for (int i = 0; i < rounds; i++) {
      builds.addAll(startAll(selector));
    }
    return builds;
  }

  @Test
  void startsAllInTheCurrentBuildWithoutAnotherJar() {
    BuildSelector selector = selector(1, null, false);
    assertThat(Set.copyOf(starts(selector, 20)), is(Set.of(Build.CURRENT)));
    assertThat(selector.summary(), is(""));
  }

  @Test
  void startsAllInTheOtherBuildForComparison() {
    BuildSelector selector = selector(1, JAR, true);
    assertThat(Set.copyOf(starts(selector, 2)), is(Set.of(Build.OTHER)));
    assertThat(
        selector.summary(),
        is("; builds: starts 20, upgrades 0, downgrades 0, running 0 current and 10 other"));
  }

  @Test
  void refusesTheComparisonWithoutAnotherJar() {
    assertThrows(IllegalArgumentException.class, () -> selector(1, null, true));
  }

  @Test
  void alternatesBetweenTheBuildsByMachine() {
    assertThat(
        startAll(selector(2, JAR, false)),
        contains(
            Build.CURRENT,
            Build.CURRENT,
            Build.OTHER,
            Build.OTHER,
            Build.CURRENT,
            Build.CURRENT,
            Build.OTHER,
            Build.CURRENT,
            Build.OTHER,
            Build.CURRENT));
  }

  @Test
  void startsEachRoleInBothBuilds() {
    for (long seed = 1; seed <= 2; seed++) {
      List<Build> builds = startAll(selector(seed, JAR, false));
      for (ProcessRole role : ProcessRole.values()) {
        Set<Build> ofRole = EnumSet.noneOf(Build.class);
        for (int i = 0; i < NODES.size(); i++) {
          if (NODES.get(i).role() == role) {
            ofRole.add(builds.get(i));
          }
        }
        assertThat(role + " of seed " + seed, ofRole, is(EnumSet.allOf(Build.class)));
      }
    }
  }

  @Test
  void restartsEachProcessInEitherBuild() {
    BuildSelector selector = selector(1, JAR, false);
    startAll(selector);
    for (Topology.Node node : NODES) {
      Set<Build> builds = EnumSet.noneOf(Build.class);
      for (int i = 0; i < 20; i++) {
        builds.add(selector.select(node));
      }
      assertThat(node.name(), builds, is(EnumSet.allOf(Build.class)));
    }
  }

  @Test
  void selectsTheSameFromTheSameSeedInAnyOrderOfProcesses() {
    BuildSelector one = selector(7, JAR, false);
    BuildSelector other = selector(7, JAR, false);
    List<Build> together = starts(one, 5);
    for (int node = NODES.size() - 1; node >= 0; node--) {
      for (int round = 0; round < 5; round++) {
        Build alone = other.select(NODES.get(node));
        assertThat(alone, is(together.get(round * NODES.size() + node)));
      }
    }
    assertThat(other.summary(), is(one.summary()));
  }
}
