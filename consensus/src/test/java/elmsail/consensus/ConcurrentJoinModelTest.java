package elmsail.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Checks all states of two concurrent claims with one ballot, or with two ballots if run with
 * -Dregister.claimBallots=2.
 */
class ConcurrentJoinModelTest {
  private static final int MAX_STATES = 20_000_000;
  private static final int BALLOTS = Integer.getInteger("register.claimBallots", 1);

  @Test
  void twoConcurrentJoinsKeepInvariants() {
    assertThat(run(ConcurrentJoinModel.Defect.NONE, BALLOTS, false), nullValue());
  }

  @Test
  void twoConcurrentJoinsWithRestartsKeepInvariants() {
    assertThat(run(ConcurrentJoinModel.Defect.NONE, 1, true), nullValue());
  }

  @ParameterizedTest
  @EnumSource(
      value = ConcurrentJoinModel.Defect.class,
      mode = EnumSource.Mode.EXCLUDE,
      names = "NONE")
  void defectIsDetected(ConcurrentJoinModel.Defect defect) {
    assertThat(run(defect, 1, false), notNullValue());
  }

  private static String run(ConcurrentJoinModel.Defect defect, int ballots, boolean restarts) {
    String name = defect + ", two claims, " + ballots + " ballots" + (restarts ? ", restarts" : "");
    return new ConcurrentJoinModel(defect, ballots, restarts).checkAndPrint(name, MAX_STATES);
  }
}
