package elmsail.gateway.requests;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AttemptOutcomeTest {

  @ParameterizedTest
  @CsvSource({
    // status, says not run, stamped, outcome
    "200, false, true, ANSWERED",
    "200, false, false, SENT",
    "200, true, true, SENT",
    "204, false, true, ANSWERED",
    "400, false, false, ANSWERED",
    "400, true, false, NOT_RUN",
    "404, false, false, ANSWERED",
    "408, false, false, SENT",
    "408, true, false, NOT_RUN",
    "421, false, false, NOT_RUN",
    "421, true, false, NOT_RUN",
    "422, false, true, ANSWERED",
    "429, false, true, SENT",
    "429, true, true, NOT_RUN",
    "500, false, true, ANSWERED",
    "500, true, false, NOT_RUN",
    "502, false, false, ANSWERED",
    "503, false, true, SENT",
    "503, true, false, NOT_RUN",
    "504, false, false, ANSWERED",
    "504, true, false, NOT_RUN"
  })
  void classifiesResponses(int status, boolean notRun, boolean stamped, AttemptOutcome outcome) {
    assertThat(AttemptOutcome.ofResponse(status, notRun, stamped), is(outcome));
  }

  @ParameterizedTest
  @CsvSource({
    "UNSENT, false, true", "UNSENT, true, true", "NOT_RUN, false, true", "NOT_RUN, true, true",
    "SENT, false, false", "SENT, true, true", "ANSWERED, false, false", "ANSWERED, true, false"
  })
  void retriesOnlyWhatMayBeRetried(AttemptOutcome outcome, boolean repeatable, boolean goesOn) {
    assertThat(outcome.mayRetry(repeatable), is(goesOn));
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
