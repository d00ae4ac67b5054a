package elmsail.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * All states of the small scope; with -Dregister.ballots=3 also those of three ballots with first
 * rounds.
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

  /** Either of these alone is made good by the other; both are kept. */
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
