package elmsail.gateway.servers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** How many servers of a service are ejected, and which statuses count. */
class OutlierDetectorTest {
  private final OutlierDetector outliers = new OutlierDetector();

  @Test
  void anOnlyServerIsNotEjected() {
    ErrorBackoff only = outliers.add();
    assertThat(outliers.errored(only, 1_000), is(false));
    assertThat(only.avoided(false, 1_000), is(false));
  }

  @Test
  void ofEquallyManyErrorsTheLongestEjectedComesBack() {
    ErrorBackoff first = outliers.add();
    ErrorBackoff second = outliers.add();
    outliers.add();
    assertThat(outliers.errored(first, 1_000), is(true));
    assertThat(outliers.errored(second, 1_100), is(true));
    assertThat(first.avoided(false, 1_100), is(false));
    assertThat(second.avoided(false, 1_100), is(true));
  }

  @Test
  void aSingleErrorDoesNotBringBackTheOneThatErrsAgainAndAgain() {
    ErrorBackoff erring = outliers.add();
    ErrorBackoff other = outliers.add();
    outliers.errored(erring, 1_000);
    outliers.errored(erring, 2_000);
    assertThat(outliers.errored(other, 2_100), is(false));
    assertThat(erring.avoided(false, 2_100), is(true));
  }

  @Test
  void theLimitFollowsTheList() {
    ErrorBackoff first = outliers.add();
    ErrorBackoff second = outliers.add();
    ErrorBackoff third = outliers.add();
    outliers.add();
    outliers.errored(first, 1_000);
    outliers.errored(second, 1_100);
    assertThat(first.ejected(), is(true));
    outliers.remove(third);
    assertThat(first.ejected(), is(false));
    assertThat(second.ejected(), is(true));
  }

  @Test
  void onlyErrorsOfTheServerCount() {
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

  /** A server whose queue was too long for the deadline is slow, not erring. */
  @Test
  void timeoutsAtTheDeadlineSayNothing() {
    assertThat(
        ResponseClass.of(504, false, ResponseClass.DEADLINE_SLACK_MS), is(ResponseClass.NEUTRAL));
    assertThat(ResponseClass.of(500, false, 0), is(ResponseClass.SERVER_ERROR));
  }
}
