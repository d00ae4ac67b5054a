package elmsail.gateway.servers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import elmsail.gateway.servers.ItemAdmission.LoadSource;
import elmsail.gateway.servers.ItemAdmission.ServerState;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Tests how many batch items may be started at a server, depending on its load and the source of
 * the load.
 */
class ItemAdmissionTest {
  private static ServerState server(
      double running, double queued, int ownItems, LoadSource loadSource) {
    return new ServerState(8, running, queued, ownItems, 1_000, loadSource, 0);
  }

  @Test
  void sharedLoadAllowsMoreAndOtherZoneAllowsFewer() {
    assertThat(ItemAdmission.availableCapacity(server(4, 0, 0, LoadSource.REPORTED)), is(1));
    assertThat(ItemAdmission.availableCapacity(server(5, 0, 0, LoadSource.REPORTED)), is(0));
    assertThat(ItemAdmission.availableCapacity(server(6, 0, 0, LoadSource.SHARED)), is(1));
    assertThat(ItemAdmission.availableCapacity(server(7, 0, 0, LoadSource.SHARED)), is(0));
    assertThat(
        ItemAdmission.availableCapacity(server(3, 0, 0, LoadSource.SHARED_OTHER_ZONE)), is(1));
    assertThat(
        ItemAdmission.availableCapacity(server(4, 0, 0, LoadSource.SHARED_OTHER_ZONE)), is(0));
  }

  @Test
  void oneGatewayUsesAtMostHalfOfTheSlots() {
    assertThat(ItemAdmission.availableCapacity(server(0, 0, 0, LoadSource.SHARED)), is(4));
    assertThat(ItemAdmission.availableCapacity(server(3, 0, 3, LoadSource.SHARED)), is(1));
    assertThat(ItemAdmission.availableCapacity(server(4, 0, 4, LoadSource.SHARED)), is(0));
  }

  @Test
  void queuePendingPrefillOrRecentStartBlocksItems() {
    assertThat(ItemAdmission.availableCapacity(server(0, 1, 0, LoadSource.REPORTED)), is(0));
    assertThat(
        ItemAdmission.availableCapacity(
            new ServerState(8, 0, 0, 0, 1_000, LoadSource.SHARED, 2_600)),
        is(0));
    assertThat(
        ItemAdmission.availableCapacity(
            new ServerState(8, 0, 0, 0, 1_000, LoadSource.REPORTED, 2_600)),
        is(4));
    assertThat(
        ItemAdmission.availableCapacity(new ServerState(8, 0, 0, 0, 79, LoadSource.SHARED, 0)),
        is(0));
  }

  @Property
  void capacityIsNonNegativeAndNeverGrowsWithLoad(
      @ForAll @IntRange(max = 64) int slots,
      @ForAll @DoubleRange(max = 200) double running,
      @ForAll @DoubleRange(max = 200) double additional,
      @ForAll @IntRange(max = 64) int ownItems,
      @ForAll LoadSource loadSource) {
    int capacity =
        ItemAdmission.availableCapacity(
            new ServerState(slots, running, 0, ownItems, 1_000, loadSource, 0));
    int capacityAtHigherLoad =
        ItemAdmission.availableCapacity(
            new ServerState(slots, running + additional, 0, ownItems, 1_000, loadSource, 0));
    assertThat(capacity, greaterThanOrEqualTo(0));
    assertThat(capacity, lessThanOrEqualTo(Math.max(2, slots / 2)));
    assertThat(capacityAtHigherLoad, lessThanOrEqualTo(capacity));
  }
}
