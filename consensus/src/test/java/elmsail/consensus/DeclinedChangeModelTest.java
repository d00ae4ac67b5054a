package elmsail.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks all states of a call that proposes, starts over and declines, beside one other call. */
class DeclinedChangeModelTest {
  private static final int MAX_STATES = 20_000_000;

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void declinedProposalIsNeverCommitted(boolean declineIsLast) {
    assertThat(run(declineIsLast, true), nullValue());
  }

  /** Guards against review/1 in the model: without the write the fault must be found. */
  @Test
  void declineWithoutAWriteIsDetected() {
    assertThat(run(false, false), notNullValue());
  }

  private static String run(boolean declineIsLast, boolean writesDeclines) {
    String name =
        (declineIsLast ? "decline last" : "decline before another call")
            + (writesDeclines ? "" : ", without a write");
    return new DeclinedChangeModel(declineIsLast, writesDeclines).checkAndPrint(name, MAX_STATES);
  }
}
