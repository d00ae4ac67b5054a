package elmsail.runtime;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class LoopDelayTest {

  /** A clock whose timers run late by what is set here. */
  private static final class LateTimers implements Timers {
    private final ManualTimers clock = new ManualTimers();
    private long lateMs;

    @Override
    public long now() {
      return clock.now();
    }

    @Override
    public Timer schedule(long ms, Runnable task) {
      return clock.schedule(ms + lateMs, task);
    }

    @Override
    public void execute(Runnable task) {
      clock.execute(task);
    }
  }

  private final LateTimers timers = new LateTimers();
  private final Counters counters = new Counters();

  @Test
  void observesHowLateTimersRun() {
    LoopDelay.start(timers, counters);
    timers.clock.advance(5_000);
    assertThat(
        counters.formatChanges(),
        is("loop_delay_ms_count=10 loop_delay_ms_p50=0 loop_delay_ms_p99=0 loop_delay_ms_max=0"));
    timers.lateMs = 700;
    timers.clock.advance(LoopDelay.SAMPLE_INTERVAL_MS);
    timers.clock.advance(LoopDelay.SAMPLE_INTERVAL_MS + timers.lateMs);
    assertThat(
        counters.formatChanges(),
        is(
            "loop_delay_ms_count=2 loop_delay_ms_p50=1 loop_delay_ms_p99=700"
                + " loop_delay_ms_max=700"));
    assertThat("one timer at a time", timers.clock.pendingTimers(), is(1));
  }
}
