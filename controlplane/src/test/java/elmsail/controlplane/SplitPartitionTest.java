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
  private static final int SEED_COUNT = 6;

  @ParameterizedTest
  @EnumSource
  void fourNodesAndSevenStoresWithThreeVotersEach(
      SplitPartitionScenario.ConcurrentChange concurrentChange) {
    runScenarios(4, 7, 1, concurrentChange);
  }

  @ParameterizedTest
  @EnumSource
  void sixNodesAndTenStoresWithFiveVotersEach(
      SplitPartitionScenario.ConcurrentChange concurrentChange) {
    runScenarios(6, 10, 2, concurrentChange);
  }

  private static void runScenarios(
      int nodeCount,
      int storeCount,
      int toleratedLosses,
      SplitPartitionScenario.ConcurrentChange concurrentChange) {
    int acknowledged = 0;
    int readsAnswered = 0;
    int delivered = 0;
    long longestRecoveryMs = 0;
    long longestAcknowledgementMs = 0;
    for (SplitPartitionScenario.Split split : SplitPartitionScenario.Split.values()) {
      for (int seed = 1; seed <= SEED_COUNT; seed++) {
        SplitPartitionScenario scenario =
            new SplitPartitionScenario(
                seed, nodeCount, storeCount, toleratedLosses, split, concurrentChange);
        scenario.runScenario();
        acknowledged += scenario.acknowledgedDuringSplit();
        readsAnswered += scenario.readsAnsweredDuringSplit();
        delivered += scenario.delivered();
        longestAcknowledgementMs =
            Math.max(longestAcknowledgementMs, scenario.acknowledgedAfterMs());
        longestRecoveryMs = Math.max(longestRecoveryMs, scenario.recoveredAfterMs());
      }
    }
    System.out.printf(
        "%d nodes, %d stores, %s: %d orders and %d reads answered in the cuts, %d delivered,"
            + " whole %d ms after the heal at the latest, an order confirmed after %d%n",
        nodeCount,
        storeCount,
        concurrentChange,
        acknowledged,
        readsAnswered,
        delivered,
        longestRecoveryMs,
        longestAcknowledgementMs);
    assertThat("orders acknowledged in the cut", acknowledged > 0, is(true));
    assertThat("reads answered in the cut", readsAnswered, greaterThan(50));
  }
}
