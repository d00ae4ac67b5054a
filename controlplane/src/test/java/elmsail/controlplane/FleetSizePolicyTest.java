package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import elmsail.config.FleetSize;
import org.junit.jupiter.api.Test;

class FleetSizePolicyTest {
  private static final FleetSize BOUNDS = new FleetSize(4, 20, 4_000);
  private static final int SLOTS = 10;
  private static final long STARTED_AT_MS = 1_000;
  private static final long WINDOW_FULL_MS =
      STARTED_AT_MS + FleetSizePolicy.STABILIZATION_WINDOW_MS;

  private final FleetSizePolicy policy = new FleetSizePolicy();

  private int observe(int servers, double openRequests, long now) {
    return policy.observe(
        new FleetSizePolicy.Observation(servers, SLOTS, openRequests, true), BOUNDS, now);
  }

  private int observeIncomplete(int servers, double openRequests, long now) {
    return policy.observe(
        new FleetSizePolicy.Observation(servers, SLOTS, openRequests, false), BOUNDS, now);
  }

  @Test
  void demandAboveTheTargetOrdersMoreAtOnce() {
    assertThat(observe(8, 60, STARTED_AT_MS), is(12));
  }

  @Test
  void targetIsLimitedToTheUpperBound() {
    assertThat(observe(8, 1_000, STARTED_AT_MS), is(20));
  }

  @Test
  void idleFleetShrinksToTheLowerBound() {
    observe(8, 0, STARTED_AT_MS);
    long windowAfterTheFirst = WINDOW_FULL_MS + FleetSizePolicy.STABILIZATION_WINDOW_MS;
    for (long now = WINDOW_FULL_MS; now <= windowAfterTheFirst; now += 500) {
      observe(8, 0, now);
    }
    assertThat(observe(8, 0, windowAfterTheFirst + 500), is(4));
  }

  @Test
  void fleetDoesNotShrinkBeforeAWholeWindowWasObserved() {
    for (long now = STARTED_AT_MS; now < WINDOW_FULL_MS; now += 500) {
      assertThat(observe(8, 0, now), is(8));
    }
  }

  @Test
  void lullShorterThanTheWindowDoesNotShrinkTheFleet() {
    observe(8, 1, STARTED_AT_MS);
    observe(8, 60, WINDOW_FULL_MS);
    long now = WINDOW_FULL_MS;
    while (now < WINDOW_FULL_MS + FleetSizePolicy.STABILIZATION_WINDOW_MS) {
      now += 500;
      assertThat(observe(12, 1, now), is(12));
    }
    assertThat(observe(12, 1, now + 500), is(4));
  }

  @Test
  void missingReportsDoNotShrinkTheFleet() {
    observe(8, 30, WINDOW_FULL_MS);
    long later = WINDOW_FULL_MS + 2 * FleetSizePolicy.STABILIZATION_WINDOW_MS;
    assertThat(observeIncomplete(8, 0, later), is(8));
  }

  @Test
  void missingReportsDoNotPreventGrowth() {
    assertThat(observeIncomplete(8, 70, STARTED_AT_MS), is(14));
  }

  @Test
  void steadyDemandWithNoiseDoesNotFlap() {
    int orders = 0;
    int servers = 10;
    for (long now = STARTED_AT_MS; now < 10 * WINDOW_FULL_MS; now += 500) {
      double noise = (now / 500 * 7_919 % 11) - 5;
      int wanted = observe(servers, 48 + noise, now);
      orders += wanted == servers ? 0 : 1;
      servers = wanted;
    }
    assertThat(orders <= 2, is(true));
  }

  @Test
  void replacementOfServersOneByOneDoesNotEnlargeTheFleet() {
    assertThat(observe(8, 10, STARTED_AT_MS), is(8));
    long later = STARTED_AT_MS + 10_000;
    assertThat(observe(9, 10, later), is(8));
    assertThat(observe(8, 10, later + 500), is(8));
  }

  @Test
  void serversBootingDuringAHolderChangeAreKept() {
    assertThat(observe(9, 10, STARTED_AT_MS), is(9));
    assertThat(observe(12, 10, STARTED_AT_MS + BOUNDS.bootMs()), is(12));
    assertThat(observe(12, 10, STARTED_AT_MS + 20_000), is(12));
  }

  @Test
  void lowerBoundOfNoServersKeepsOne() {
    FleetSize unbounded = new FleetSize(0, 20, 4_000);
    int wanted = 8;
    for (long now = 0; now <= 3 * FleetSizePolicy.STABILIZATION_WINDOW_MS; now += 500) {
      wanted =
          policy.observe(new FleetSizePolicy.Observation(wanted, SLOTS, 0, true), unbounded, now);
    }
    assertThat(wanted, is(1));
  }

  @Test
  void crashOfServersDoesNotLowerTheTarget() {
    assertThat(observe(8, 10, STARTED_AT_MS), is(8));
    assertThat(observe(5, 10, STARTED_AT_MS + 500), is(8));
  }
}
