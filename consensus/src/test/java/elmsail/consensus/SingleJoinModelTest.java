package elmsail.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Checks all states of one join with two ballots, or with three ballots if run with
 * -Dregister.ballots=3, and of three ballots of which the second is promised ahead.
 */
class SingleJoinModelTest {
  private static final int MAX_STATES = 20_000_000;
  private static final int BALLOTS = Integer.getInteger("register.ballots", 2);

  @Test
  void changesDuringAJoinKeepInvariants() {
    assertThat(run(SingleJoinModel.Defect.NONE, BALLOTS, false), nullValue());
  }

  @Test
  void ballotPromisedWithAnAcceptKeepsInvariants() {
    assertThat(run(SingleJoinModel.Defect.NONE, 3, true), nullValue());
  }

  @ParameterizedTest
  @EnumSource(
      value = SingleJoinModel.Defect.class,
      names = {
        "VOTE_AFTER_DISK_LOSS",
        "ONE_ACKNOWLEDGER",
        "COPY_BEFORE_CLAIM",
        "VOTER_SET_CHANGES_AND_PROMISES_NOT_COPIED"
      })
  void defectIsDetected(SingleJoinModel.Defect defect) {
    assertThat(run(defect, 2, false), notNullValue());
  }

  /**
   * The copying of promises and the fixed voter set of a ballot each suffice without the other, so
   * neither defect alone is detected. The production code has both safeguards.
   */
  @ParameterizedTest
  @EnumSource(
      value = SingleJoinModel.Defect.class,
      names = {"VOTER_SET_CHANGES_BETWEEN_PHASES", "PROMISES_NOT_COPIED"})
  void invariantsHoldWithOneOfTwoSafeguardsForThreeVoters(SingleJoinModel.Defect defect) {
    assertThat(run(defect, 2, false), nullValue());
  }

  private static String run(SingleJoinModel.Defect defect, int ballots, boolean promisedAhead) {
    String name =
        defect + ", " + ballots + " ballots" + (promisedAhead ? ", one promised ahead" : "");
    return new SingleJoinModel(defect, ballots, promisedAhead).checkAndPrint(name, MAX_STATES);
  }
}
