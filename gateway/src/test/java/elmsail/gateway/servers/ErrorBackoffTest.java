package elmsail.gateway.servers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Tests the ejection, backoff and probes of one server with explicit timestamps. */
class ErrorBackoffTest {
  private final ErrorBackoff server = new ErrorBackoff();

  @Test
  void errorEjectsForOneSecond() {
    assertThat(server.isAvoided(true, 1_000), is(false));
    assertThat(server.recordError(1_000), is(true));
    assertThat(server.isAvoided(true, 1_999), is(true));
    assertThat(server.isAvoided(true, 2_000), is(false));
  }

  @Test
  void ejectionTimeDoublesUpToEightSeconds() {
    long now = 1_000;
    for (long backoffMs : new long[] {1_000, 2_000, 4_000, 8_000, 8_000, 8_000}) {
      server.recordError(now);
      assertThat(server.isAvoided(true, now + backoffMs - 1), is(true));
      now += backoffMs;
      assertThat(server.isAvoided(true, now), is(false));
    }
  }

  @Test
  void successEndsTheEjectionAndResetsTheBackoff() {
    server.recordError(1_000);
    server.recordError(2_000);
    server.recordSuccess(2_001);
    assertThat(server.isAvoided(false, 2_001), is(false));
    server.recordError(3_000);
    assertThat(server.isAvoided(true, 4_000), is(false));
  }

  @Test
  void servedRecentlyUntilAnErrorOrForOneSecond() {
    assertThat(server.servedRecently(1_000), is(false));
    server.recordSuccess(1_000);
    assertThat(server.servedRecently(2_000), is(true));
    assertThat(server.servedRecently(2_001), is(false));
    server.recordSuccess(3_000);
    server.recordError(3_001);
    assertThat(server.servedRecently(3_001), is(false));
  }

  @Test
  void errorsDuringAnEjectionAreNotCounted() {
    server.recordError(1_000);
    assertThat(server.recordError(1_001), is(false));
    assertThat(server.recordError(1_999), is(false));
    assertThat(server.consecutiveErrors(), is(1));
    assertThat(server.isAvoided(true, 2_000), is(false));
  }

  @Test
  void halfOpenServerGetsOneProbeAtATime() {
    server.recordError(1_000);
    assertThat("not yet half-open", server.tryStartProbe(1_999), is(false));
    assertThat(server.tryStartProbe(2_000), is(true));
    assertThat(server.isAvoided(true, 2_000), is(true));
    assertThat(server.tryStartProbe(2_000), is(false));
    server.endProbe();
    assertThat("no success yet", server.isEjected(), is(true));
    assertThat(server.isAvoided(true, 2_001), is(false));
  }

  @Test
  void nonRetryableRequestProbesLater() {
    server.recordError(1_000);
    assertThat(server.isAvoided(false, 3_999), is(true));
    assertThat(server.isAvoided(false, 4_000), is(false));
    server.tryStartProbe(4_000);
    assertThat("one at a time", server.isAvoided(false, 4_000), is(true));
  }
}
