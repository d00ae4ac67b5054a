package elmsail.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import org.junit.jupiter.api.Test;

class FaultHistoryTest {
  private final FaultHistory faults = new FaultHistory();

  @Test
  void machineIsInTouchAgainAWhileAfterItsFault() {
    FaultHistory.Entry entry = faults.begin(Set.of("a"), false, 1_000);
    assertThat(faults.inTouch("a", 999, 999), is(true));
    assertThat(faults.inTouch("a", 50_000, 50_000), is(false));
    faults.end(entry, 2_000);
    assertThat(faults.inTouch("a", 2_000 + Bounds.IN_TOUCH_MS, 6_000), is(false));
    assertThat(faults.inTouch("a", 2_001 + Bounds.IN_TOUCH_MS, 6_000), is(true));
    assertThat(faults.inTouch("b", 1_500, 1_500), is(true));
    assertThat(faults.inTouch("a", 0, 1_000), is(false));
  }

  @Test
  void faultsOfTheCoreAndStallsAffectAllMachines() {
    faults.end(faults.begin(Set.of("a"), true, 1_000), 1_100);
    assertThat(faults.inTouch("b", 1_050, 1_050), is(false));
    faults.onStall(20_000, 20_300);
    assertThat(faults.inTouch("c", 20_301, 20_301), is(false));
    assertThat(faults.inTouch("c", 10_000, 10_000), is(true));
  }
}
