package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class TermHandBackTest {
  private static final long HAND_BACK_MS = 3_500;

  private final TermHandBack handBack = new TermHandBack(HAND_BACK_MS);

  @Test
  void firstTermIsUsableAtOnce() {
    handBack.onAcquired(7);
    assertThat(handBack.isUsable(0), is(true));
  }

  @Test
  void nextTermWithoutAnotherBetweenIsUsableAtOnce() {
    handBack.onAcquired(1);
    handBack.onUsed(1_000);
    handBack.onAcquired(2);
    assertThat(handBack.isUsable(1_001), is(true));
  }

  @Test
  void termAfterAnothersIsUsableOnlyAfterTheWait() {
    handBack.onAcquired(1);
    handBack.onUsed(1_000);
    handBack.onAcquired(3);
    assertThat(handBack.isUsable(1_000 + HAND_BACK_MS - 1), is(false));
    assertThat(handBack.isUsable(1_000 + HAND_BACK_MS), is(true));
  }

  @Test
  void secondAcquisitionDoesNotCutTheWaitShort() {
    handBack.onAcquired(1);
    handBack.onUsed(1_000);
    handBack.onAcquired(3);
    handBack.onAcquired(4);
    assertThat(handBack.isUsable(2_700), is(false));
    assertThat(handBack.isUsable(1_000 + HAND_BACK_MS), is(true));
  }
}
