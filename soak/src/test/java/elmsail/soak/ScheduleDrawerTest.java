package elmsail.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import willowdoor.lab.fleet.Loopback;

class ScheduleDrawerTest {
  private static final int SEEDS = 300;
  private static final long FROM = 500;
  private static final long TO = 32_000;

  private Loopback loopback;
  private Topology topology;

  @BeforeEach
  void claim() throws Exception {
    loopback = Loopback.claim();
    topology = new Topology(loopback);
  }

  @AfterEach
  void release() throws Exception {
    loopback.close();
  }

  private List<Trouble> draw(long seed) {
    return ScheduleDrawer.draw(seed, FROM, TO, topology.machines(), topology.nodes());
  }

  @Test
  void aSeedAlwaysGivesTheSame() {
    assertThat(draw(7), is(draw(7)));
    assertThat(draw(7), is(not(draw(8))));
  }

  @Test
  void allKindsComeUpAndSomeOverlap() {
    Set<TroubleKind> kinds = EnumSet.noneOf(TroubleKind.class);
    for (long seed = 0; seed < SEEDS; seed++) {
      List<Trouble> troubles = draw(seed);
      troubles.forEach(trouble -> kinds.add(trouble.kind()));
      long overlaps =
          troubles.stream()
              .filter(one -> troubles.stream().anyMatch(two -> two != one && two.overlaps(one)))
              .count();
      assertThat("seed " + seed, overlaps, greaterThan(3L));
    }
    assertThat(kinds, is(EnumSet.allOf(TroubleKind.class)));
  }

  @Test
  void keepsWithinWhatIsBorne() {
    for (long seed = 0; seed < SEEDS; seed++) {
      List<Trouble> troubles = draw(seed);
      for (String disks : List.of("vault", "counter")) {
        List<Trouble> lost =
            troubles.stream()
                .filter(one -> one.kind() == TroubleKind.LOSE_DISK)
                .filter(one -> one.target().startsWith(disks))
                .toList();
        assertThat("seed " + seed, lost.size(), is(lessThanOrEqualTo(1)));
      }
      for (Trouble trouble : troubles) {
        assertThat(trouble.toString(), trouble.startMs() >= FROM && trouble.endMs() <= TO);
        List<Trouble> beside = troubles.stream().filter(trouble::overlaps).toList();
        assertThat(
            trouble.toString(), beside.size(), is(lessThanOrEqualTo(ScheduleDrawer.MOST_AT_ONCE)));
      }
    }
  }

  @Test
  void noProcessIsStruckByTwoAtOnce() {
    for (long seed = 0; seed < SEEDS; seed++) {
      List<Trouble> struck = draw(seed).stream().filter(one -> !one.kind().ofLinks()).toList();
      for (Trouble one : struck) {
        List<Trouble> same =
            struck.stream()
                .filter(one::overlaps)
                .filter(two -> machineOf(one).equals(machineOf(two)))
                .toList();
        assertThat(same.toString(), same, hasSize(1));
      }
    }
  }

  private String machineOf(Trouble trouble) {
    return topology.nodes().stream()
        .filter(node -> node.name().equals(trouble.target()))
        .map(node -> node.machine().name())
        .findFirst()
        .orElse(trouble.target());
  }
}
