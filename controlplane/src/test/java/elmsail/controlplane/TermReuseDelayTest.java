package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class TermReuseDelayTest {
  private static final long REUSE_DELAY_MS = 3_500;

  private final TermReuseDelay termReuseDelay = new TermReuseDelay(REUSE_DELAY_MS);

  @Test
  void firstTermIsUsableAtOnce() {
    termReuseDelay.onAcquired(7);
    assertThat(termReuseDelay.isUsable(0), is(true));
  }

  @Test
  void consecutiveTermIsUsableAtOnce() {
    termReuseDelay.onAcquired(1);
    termReuseDelay.onUsed(1_000);
    termReuseDelay.onAcquired(2);
    assertThat(termReuseDelay.isUsable(1_001), is(true));
  }

  @Test
  void termAfterASkippedTermIsUsableOnlyAfterTheDelay() {
    termReuseDelay.onAcquired(1);
    termReuseDelay.onUsed(1_000);
    termReuseDelay.onAcquired(3);
    assertThat(termReuseDelay.isUsable(1_000 + REUSE_DELAY_MS - 1), is(false));
    assertThat(termReuseDelay.isUsable(1_000 + REUSE_DELAY_MS), is(true));
  }

  @Test
  void secondAcquisitionDoesNotShortenTheDelay() {
    termReuseDelay.onAcquired(1);
    termReuseDelay.onUsed(1_000);
    termReuseDelay.onAcquired(3);
    termReuseDelay.onAcquired(4);
    assertThat(termReuseDelay.isUsable(2_700), is(false));
    assertThat(termReuseDelay.isUsable(1_000 + REUSE_DELAY_MS), is(true));
  }
}
