package elmsail.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import org.junit.jupiter.api.Test;

class TroubleLogTest {
  private final TroubleLog troubles = new TroubleLog();

  @Test
  void aMachineIsInTouchAgainAWhileAfterItsTrouble() {
    TroubleLog.Entry entry = troubles.begin(Set.of("a"), false, 1_000);
    assertThat(troubles.inTouch("a", 999, 999), is(true));
    assertThat(troubles.inTouch("a", 50_000, 50_000), is(false));
    troubles.end(entry, 2_000);
    assertThat(troubles.inTouch("a", 2_000 + Bounds.IN_TOUCH_MS, 6_000), is(false));
    assertThat(troubles.inTouch("a", 2_001 + Bounds.IN_TOUCH_MS, 6_000), is(true));
    assertThat(troubles.inTouch("b", 1_500, 1_500), is(true));
    assertThat(troubles.inTouch("a", 0, 1_000), is(false));
  }

  @Test
  void aTroubleOfTheCoreAndAStallConcernAll() {
    troubles.end(troubles.begin(Set.of("a"), true, 1_000), 1_100);
    assertThat(troubles.inTouch("b", 1_050, 1_050), is(false));
    troubles.stalled(20_000, 20_300);
    assertThat(troubles.inTouch("c", 20_301, 20_301), is(false));
    assertThat(troubles.inTouch("c", 10_000, 10_000), is(true));
  }
}
