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

class FaultScheduleGeneratorTest {
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

  private List<Fault> draw(long seed) {
    return FaultScheduleGenerator.generate(seed, FROM, TO, topology.machines(), topology.nodes());
  }

  @Test
  void sameSeedGivesTheSameSchedule() {
    assertThat(draw(7), is(draw(7)));
    assertThat(draw(7), is(not(draw(8))));
  }

  @Test
  void allKindsOccurAndSomeOverlap() {
    Set<FaultKind> kinds = EnumSet.noneOf(FaultKind.class);
    for (long seed = 0; seed < SEEDS; seed++) {
      List<Fault> faults = draw(seed);
      faults.forEach(fault -> kinds.add(fault.kind()));
      long overlaps =
          faults.stream()
              .filter(one -> faults.stream().anyMatch(two -> two != one && two.overlaps(one)))
              .count();
      assertThat("seed " + seed, overlaps, greaterThan(3L));
    }
    assertThat(kinds, is(EnumSet.allOf(FaultKind.class)));
  }

  @Test
  void keepsWithinTheToleratedLosses() {
    for (long seed = 0; seed < SEEDS; seed++) {
      List<Fault> faults = draw(seed);
      for (String disks : List.of("vault", "counter")) {
        List<Fault> lost =
            faults.stream()
                .filter(one -> one.kind() == FaultKind.LOSE_DISK)
                .filter(one -> one.target().startsWith(disks))
                .toList();
        assertThat("seed " + seed, lost.size(), is(lessThanOrEqualTo(1)));
      }
      for (Fault fault : faults) {
        assertThat(fault.toString(), fault.startMs() >= FROM && fault.endMs() <= TO);
        List<Fault> beside = faults.stream().filter(fault::overlaps).toList();
        assertThat(
            fault.toString(),
            beside.size(),
            is(lessThanOrEqualTo(FaultScheduleGenerator.MAX_CONCURRENT)));
      }
    }
  }

  @Test
  void noProcessIsAffectedByTwoFaultsAtOnce() {
    for (long seed = 0; seed < SEEDS; seed++) {
      List<Fault> struck = draw(seed).stream().filter(one -> !one.kind().affectsLinks()).toList();
      for (Fault one : struck) {
        List<Fault> same =
            struck.stream()
                .filter(one::overlaps)
                .filter(two -> machineOf(one).equals(machineOf(two)))
                .toList();
        assertThat(same.toString(), same, hasSize(1));
      }
    }
  }

  private String machineOf(Fault fault) {
    return topology.nodes().stream()
        .filter(node -> node.name().equals(fault.target()))
        .map(node -> node.machine().name())
        .findFirst()
        .orElse(fault.target());
  }
}
