package elmsail.gateway.servers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Tests how many servers of a service are ejected, and which response statuses count as errors. */
class OutlierDetectorTest {
  private final OutlierDetector outliers = new OutlierDetector();

  @Test
  void onlyServerIsNotEjected() {
    ErrorBackoff only = outliers.addServer();
    assertThat(outliers.recordError(only, 1_000), is(false));
    assertThat(only.isAvoided(false, 1_000), is(false));
  }

  @Test
  void longestEjectedServerReturnsFirstAmongEqualErrors() {
    ErrorBackoff first = outliers.addServer();
    ErrorBackoff second = outliers.addServer();
    outliers.addServer();
    assertThat(outliers.recordError(first, 1_000), is(true));
    assertThat(outliers.recordError(second, 1_100), is(true));
    assertThat(first.isAvoided(false, 1_100), is(false));
    assertThat(second.isAvoided(false, 1_100), is(true));
  }

  @Test
  void singleErrorOfAnotherServerDoesNotUnejectAServerWithSeveralErrors() {
    ErrorBackoff failing = outliers.addServer();
    ErrorBackoff other = outliers.addServer();
    outliers.recordError(failing, 1_000);
    outliers.recordError(failing, 2_000);
    assertThat(outliers.recordError(other, 2_100), is(false));
    assertThat(failing.isAvoided(false, 2_100), is(true));
  }

  @Test
  void ejectionLimitFollowsTheServerList() {
    ErrorBackoff first = outliers.addServer();
    ErrorBackoff second = outliers.addServer();
    ErrorBackoff third = outliers.addServer();
    outliers.addServer();
    outliers.recordError(first, 1_000);
    outliers.recordError(second, 1_100);
    assertThat(first.isEjected(), is(true));
    outliers.removeServer(third);
    assertThat(first.isEjected(), is(false));
    assertThat(second.isEjected(), is(true));
  }

  @Test
  void onlyServerErrorsCount() {
    for (int status : new int[] {500, 502, 504}) {
      assertThat(ResponseClass.of(status, false, 1_000), is(ResponseClass.SERVER_ERROR));
      assertThat(ResponseClass.of(status, true, 1_000), is(ResponseClass.NEUTRAL));
    }
    for (int status : new int[] {400, 404, 408, 421, 422, 429, 501, 503}) {
      assertThat(ResponseClass.of(status, false, 1_000), is(ResponseClass.NEUTRAL));
    }
    assertThat(ResponseClass.of(200, false, 1_000), is(ResponseClass.SUCCESS));
    assertThat(ResponseClass.of(200, true, 1_000), is(ResponseClass.NEUTRAL));
  }

  /** A 504 response at the deadline comes from a server that is slow, not faulty. */
  @Test
  void gatewayTimeoutAtTheDeadlineIsNeutral() {
    assertThat(
        ResponseClass.of(504, false, ResponseClass.DEADLINE_SLACK_MS), is(ResponseClass.NEUTRAL));
    assertThat(ResponseClass.of(500, false, 0), is(ResponseClass.SERVER_ERROR));
  }
}
