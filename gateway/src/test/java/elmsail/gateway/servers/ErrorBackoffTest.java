package elmsail.gateway.servers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** The circuit breaker of a server, by a clock of numbers. */
class ErrorBackoffTest {
  private final ErrorBackoff server = new ErrorBackoff();

  @Test
  void anErrorEjectsForASecond() {
    assertThat(server.avoided(true, 1_000), is(false));
    assertThat(server.errored(1_000), is(true));
    assertThat(server.avoided(true, 1_999), is(true));
    assertThat(server.avoided(true, 2_000), is(false));
  }

  @Test
  void eachFurtherErrorDoublesTheTimeUpToEightSeconds() {
    long now = 1_000;
    for (long backoffMs : new long[] {1_000, 2_000, 4_000, 8_000, 8_000, 8_000}) {
      server.errored(now);
      assertThat(server.avoided(true, now + backoffMs - 1), is(true));
      now += backoffMs;
      assertThat(server.avoided(true, now), is(false));
    }
  }

  @Test
  void aSuccessEndsTheEjectionAndTheDoubling() {
    server.errored(1_000);
    server.errored(2_000);
    server.succeeded(2_001);
    assertThat(server.avoided(false, 2_001), is(false));
    server.errored(3_000);
    assertThat(server.avoided(true, 4_000), is(false));
  }

  @Test
  void aServerServedLatelyUntilItErrsOrASecondIsOver() {
    assertThat(server.servedLately(1_000), is(false));
    server.succeeded(1_000);
    assertThat(server.servedLately(2_000), is(true));
    assertThat(server.servedLately(2_001), is(false));
    server.succeeded(3_000);
    server.errored(3_001);
    assertThat(server.servedLately(3_001), is(false));
  }

  @Test
  void errorsOfRequestsThatWereUnderWayCountOnce() {
    server.errored(1_000);
    assertThat(server.errored(1_001), is(false));
    assertThat(server.errored(1_999), is(false));
    assertThat(server.consecutiveErrors(), is(1));
    assertThat(server.avoided(true, 2_000), is(false));
  }

  @Test
  void aHalfOpenServerGetsOneProbeAtATime() {
    server.errored(1_000);
    assertThat("not yet half-open", server.probe(1_999), is(false));
    assertThat(server.probe(2_000), is(true));
    assertThat(server.avoided(true, 2_000), is(true));
    assertThat(server.probe(2_000), is(false));
    server.probeEnded();
    assertThat("no success yet", server.ejected(), is(true));
    assertThat(server.avoided(true, 2_001), is(false));
  }

  @Test
  void whatMayNotBeRepeatedProbesLater() {
    server.errored(1_000);
    assertThat(server.avoided(false, 3_999), is(true));
    assertThat(server.avoided(false, 4_000), is(false));
    server.probe(4_000);
    assertThat("one at a time", server.avoided(false, 4_000), is(true));
  }
}
