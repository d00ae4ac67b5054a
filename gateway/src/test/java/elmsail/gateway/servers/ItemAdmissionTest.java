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

/** How many batch items may be started at a server, by what is known of it. */
class ItemAdmissionTest {
  private static ServerState server(double running, double waiting, int own, LoadSource sight) {
    return new ServerState(8, running, waiting, own, 1_000, sight, 0);
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
  void queuedRequestsBlockItems() {
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
      @ForAll @IntRange(max = 64) int berths,
      @ForAll @DoubleRange(max = 200) double running,
      @ForAll @DoubleRange(max = 200) double more,
      @ForAll @IntRange(max = 64) int own,
      @ForAll LoadSource sight) {
    int room =
        ItemAdmission.availableCapacity(new ServerState(berths, running, 0, own, 1_000, sight, 0));
    int after =
        ItemAdmission.availableCapacity(
            new ServerState(berths, running + more, 0, own, 1_000, sight, 0));
    assertThat(room, greaterThanOrEqualTo(0));
    assertThat(room, lessThanOrEqualTo(Math.max(2, berths / 2)));
    assertThat(after, lessThanOrEqualTo(room));
  }
}
