package elmsail.gateway.servers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import elmsail.gateway.servers.AdmissionPolicy.Estimate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/**
 * Tests the estimated wait above which requests are rejected, and the slot hold time used by the
 * estimate.
 */
class AdmissionPolicyTest {
  @Test
  void sharedLoadRejectsAboveHalfOfTheLatencyTarget() {
    assertThat(AdmissionPolicy.rejects(new Estimate(150, true), 300), is(false));
    assertThat(AdmissionPolicy.rejects(new Estimate(151, true), 300), is(true));
  }

  @Test
  void reportedLoadRejectsAboveTwiceTheLatencyTarget() {
    assertThat(AdmissionPolicy.rejects(new Estimate(600, false), 300), is(false));
    assertThat(AdmissionPolicy.rejects(new Estimate(601, false), 300), is(true));
  }

  @Property
  void nothingIsRejectedWithoutATargetAndRejectionIsMonotonicInTheWait(
      @ForAll @DoubleRange(max = 1e9) double waitMs,
      @ForAll @DoubleRange(max = 1e9) double additionalWaitMs,
      @ForAll @LongRange(max = 100_000) long latencyTargetMs,
      @ForAll boolean shared) {
    assertThat(AdmissionPolicy.rejects(new Estimate(waitMs, shared), 0), is(false));
    boolean rejected = AdmissionPolicy.rejects(new Estimate(waitMs, shared), latencyTargetMs);
    boolean rejectedAtLongerWait =
        AdmissionPolicy.rejects(new Estimate(waitMs + additionalWaitMs, shared), latencyTargetMs);
    assertThat(!rejected || rejectedAtLongerWait, is(true));
  }

  @Test
  void slotHoldTimeFollowsRecentObservations() {
    SlotHoldTime time = new SlotHoldTime();
    assertThat(time.releaseIntervalMs(8), is(SlotHoldTime.DEFAULT_RELEASE_INTERVAL_MS));
    time.observe(800);
    assertThat(time.releaseIntervalMs(8), is(100.0));
    assertThat(
        "max concurrency unknown",
        time.releaseIntervalMs(0),
        is(SlotHoldTime.DEFAULT_RELEASE_INTERVAL_MS));
    for (int i = 0; i < 200; i++) {
      time.observe(80);
    }
    assertThat(time.releaseIntervalMs(8), closeTo(10, 0.1));
  }

  @Property
  void slotHoldTimeIsBounded(@ForAll long one, @ForAll long other) {
    SlotHoldTime time = new SlotHoldTime();
    time.observe(one);
    time.observe(other);
    assertThat(time.releaseIntervalMs(1), greaterThanOrEqualTo(0.0));
    assertThat(time.releaseIntervalMs(1), lessThanOrEqualTo(5_000.0));
  }
}
