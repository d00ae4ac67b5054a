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
class ModelTest {
  private static final int MOST = 20_000_000;
  private static final int BALLOTS = Integer.getInteger("register.ballots", 2);

  @Test
  void askersAndANewcomerNeverDisagree() {
    assertThat(run(Model.Defect.NONE, BALLOTS, false), nullValue());
  }

  @Test
  void norWithABallotPromisedAhead() {
    assertThat(run(Model.Defect.NONE, 3, true), nullValue());
  }

  @ParameterizedTest
  @EnumSource(
      value = Model.Defect.class,
      names = {"AMNESIA", "ONE_ACKNOWLEDGER", "COPY_BEFORE_CLAIM", "PROMISE_OUTLIVES_INCARNATION"})
  void aDefectIsFound(Model.Defect defect) {
    assertThat(run(defect, 2, false), notNullValue());
  }

  /** Either of these alone is made good by the other; both are kept. */
  @ParameterizedTest
  @EnumSource(
      value = Model.Defect.class,
      names = {"SEATING_CHANGES_BETWEEN_ROUNDS", "PROMISES_NOT_COPIED"})
  void oneOfTwoGuardsIsEnoughAtThreeSeats(Model.Defect defect) {
    assertThat(run(defect, 2, false), nullValue());
  }

  private static String run(Model.Defect defect, int ballots, boolean sticky) {
    String name = defect + ", " + ballots + " ballots" + (sticky ? ", one promised ahead" : "");
    return new Model(defect, ballots, sticky).checkAndPrint(name, MOST);
  }
}
