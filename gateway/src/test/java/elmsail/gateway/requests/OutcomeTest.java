package elmsail.gateway.requests;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OutcomeTest {

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
  void ofAnAnswer(int status, boolean notRun, boolean stamped, Outcome outcome) {
    assertThat(Outcome.answered(status, notRun, stamped), is(outcome));
  }

  @ParameterizedTest
  @CsvSource({
    "UNSENT, false, true", "UNSENT, true, true", "NOT_RUN, false, true", "NOT_RUN, true, true",
    "SENT, false, false", "SENT, true, true", "ANSWERED, false, false", "ANSWERED, true, false"
  })
  void whetherItGoesOn(Outcome outcome, boolean repeatable, boolean goesOn) {
    assertThat(outcome.mayGoOn(repeatable), is(goesOn));
  }

  @Test
  void aPromiseIsGivenOnlyForWhatCannotHaveRun() {
    assertThat(Outcome.ownStatus(false, false), is(503));
    assertThat(Outcome.ownStatus(false, true), is(503));
    assertThat(Outcome.ownStatus(true, false), is(502));
    assertThat(Outcome.ownStatus(true, true), is(504));
    assertThat(Outcome.failed(true).mayHaveRun(), is(true));
    assertThat(Outcome.failed(false).mayHaveRun(), is(false));
    assertThat(Outcome.NOT_RUN.mayHaveRun(), is(false));
    assertThat(Outcome.ANSWERED.passed(), is(true));
  }
}
