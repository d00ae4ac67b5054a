package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * For some seconds a partition splits the control-plane nodes and the stores into two halves, while
 * operators and gateways reach both halves. Changes are sent to both halves concurrently, the
 * configuration is read from all nodes, jobs are written and read, and stores are decommissioned,
 * while a voter change may be in progress. Acknowledged state and the invariants on leases and
 * slots must hold throughout, and all voters must vote again soon after the heal.
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
    int decommissioned = 0;
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
        decommissioned += scenario.storesReportedAsDecommissioned();
        longestAcknowledgementMs =
            Math.max(longestAcknowledgementMs, scenario.acknowledgedAfterMs());
        longestRecoveryMs = Math.max(longestRecoveryMs, scenario.recoveredAfterMs());
      }
    }
    System.out.printf(
        "%d nodes, %d stores, %s: %d changes and %d reads answered during partitions,"
            + " %d stores decommissioned, all voters vote at most %d ms after the heal,"
            + " a change committed after %d%n",
        nodeCount,
        storeCount,
        concurrentChange,
        acknowledged,
        readsAnswered,
        decommissioned,
        longestRecoveryMs,
        longestAcknowledgementMs);
    assertThat("changes acknowledged during the partition", acknowledged > 0, is(true));
    assertThat("reads answered during the partition", readsAnswered, greaterThan(50));
  }
}
