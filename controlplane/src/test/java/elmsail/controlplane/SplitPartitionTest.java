package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * For some seconds the control-plane nodes and the stores are cut into two halves; operators and
 * gateways reach both. Orders race at both halves, the configuration is read everywhere, jobs are
 * written and read, and stores are retired, while a change of voters may be under way. What holds
 * for all machines holds throughout, and all is well again soon after the cut has healed.
 */
class SplitPartitionTest {
  private static final int STORIES = 6;

  @ParameterizedTest
  @EnumSource
  void fourNodesAndSevenStoresWithThreeVotersEach(
      SplitPartitionScenario.ConcurrentChange underWay) {
    play(4, 7, 1, underWay);
  }

  @ParameterizedTest
  @EnumSource
  void sixNodesAndTenStoresWithFiveVotersEach(SplitPartitionScenario.ConcurrentChange underWay) {
    play(6, 10, 2, underWay);
  }

  private static void play(
      int nodes, int stores, int bear, SplitPartitionScenario.ConcurrentChange underWay) {
    int acknowledged = 0;
    int answers = 0;
    int delivered = 0;
    long longest = 0;
    long acked = 0;
    for (SplitPartitionScenario.Halves halves : SplitPartitionScenario.Halves.values()) {
      for (int seed = 1; seed <= STORIES; seed++) {
        SplitPartitionScenario scenario =
            new SplitPartitionScenario(seed, nodes, stores, bear, halves, underWay);
        scenario.play();
        acknowledged += scenario.acknowledgedInTheCut();
        answers += scenario.readsAnsweredInTheCut();
        delivered += scenario.delivered();
        acked = Math.max(acked, scenario.ackedAfterMs());
        longest = Math.max(longest, scenario.recoveredAfterMs());
      }
    }
    System.out.printf(
        "%d nodes, %d stores, %s: %d orders and %d reads answered in the cuts, %d delivered,"
            + " whole %d ms after the heal at the latest, an order confirmed after %d%n",
        nodes, stores, underWay, acknowledged, answers, delivered, longest, acked);
    assertThat("orders acknowledged in the cut", acknowledged > 0, is(true));
    assertThat("reads answered in the cut", answers, greaterThan(50));
  }
}
