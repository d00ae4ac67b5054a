package elmsail.gateway.requests;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AttemptOutcomeTest {

  @ParameterizedTest
  @CsvSource({
    // status, not run, has postmark, outcome
    "200, false, true, RESPONDED",
    "200, false, false, UNKNOWN",
    "200, true, true, UNKNOWN",
    "204, false, true, RESPONDED",
    "400, false, false, RESPONDED",
    "400, true, false, NOT_RUN",
    "404, false, false, RESPONDED",
    "408, false, false, UNKNOWN",
    "408, true, false, NOT_RUN",
    "421, false, false, NOT_RUN",
    "421, true, false, NOT_RUN",
    "422, false, true, RESPONDED",
    "429, false, true, UNKNOWN",
    "429, true, true, NOT_RUN",
    "500, false, true, RESPONDED",
    "500, true, false, NOT_RUN",
    "502, false, false, RESPONDED",
    "503, false, true, UNKNOWN",
    "503, true, false, NOT_RUN",
    "504, false, false, RESPONDED",
    "504, true, false, NOT_RUN"
  })
  void classifiesResponses(
      int status, boolean notRun, boolean hasPostmark, AttemptOutcome outcome) {
    assertThat(AttemptOutcome.ofResponse(status, notRun, hasPostmark), is(outcome));
  }

  @ParameterizedTest
  @CsvSource({
    "NOT_SENT, false, true", "NOT_SENT, true, true", "NOT_RUN, false, true", "NOT_RUN, true, true",
    "UNKNOWN, false, false", "UNKNOWN, true, true", "RESPONDED, false, false",
        "RESPONDED, true, false"
  })
  void mayRetryDependsOnOutcomeAndIdempotence(
      AttemptOutcome outcome, boolean idempotent, boolean mayRetry) {
    assertThat(outcome.mayRetry(idempotent), is(mayRetry));
  }

  @Test
  void localReplyIs503OnlyWhenNoAttemptMayHaveRun() {
    assertThat(AttemptOutcome.localReplyStatus(false, false), is(503));
    assertThat(AttemptOutcome.localReplyStatus(false, true), is(503));
    assertThat(AttemptOutcome.localReplyStatus(true, false), is(502));
    assertThat(AttemptOutcome.localReplyStatus(true, true), is(504));
    assertThat(AttemptOutcome.ofFailure(true).mayHaveRun(), is(true));
    assertThat(AttemptOutcome.ofFailure(false).mayHaveRun(), is(false));
    assertThat(AttemptOutcome.NOT_RUN.mayHaveRun(), is(false));
    assertThat(AttemptOutcome.RESPONDED.isRelayed(), is(true));
  }
}
