package elmsail.config.watch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import elmsail.runtime.ManualTimers;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ClusterClockTest {
  private static final long EPOCH_MS = 1_767_225_600_000L;
  private static final List<String> NODES = List.of("n1", "n2", "n3");
  private static final String OWN = "";

  private final ManualTimers timers = new ManualTimers();
  private final ClusterClock clock = new ClusterClock(timers);
  private final Map<String, Long> skewMs = new HashMap<>();

  private long trueMs() {
    return EPOCH_MS + timers.now();
  }

  private void sample(String source) {
    clock.onSample(source, trueMs() + skewMs.getOrDefault(source, 0L));
  }

  private void sampleAll() {
    sample(OWN);
    NODES.forEach(this::sample);
  }

  private void runFor(long ms) {
    for (long end = timers.now() + ms; timers.now() < end; ) {
      sampleAll();
      timers.advance(5_000);
    }
  }

  private long errorMs() {
    return Math.abs(clock.now() - trueMs());
  }

  @Test
  void hasNoTimeBeforeTheFirstSampleAndAgreesAfterASecondSource() {
    assertThat(clock.hasTime(), is(false));
    sample(OWN);
    assertThat(clock.hasTime(), is(true));
    assertThat(clock.isAgreed(), is(false));
    sample("n1");
    assertThat(clock.isAgreed(), is(true));
    assertThat(errorMs(), is(0L));
  }

  @Test
  void machineWhoseOwnClockIsWrongAdoptsTheTimeOfTheOthers() {
    skewMs.put(OWN, 7_000L);
    sample(OWN);
    assertThat(errorMs(), is(7_000L));
    sample("n1");
    assertThat("two sources that differ do not agree", clock.isAgreed(), is(false));
    sample("n2");
    assertThat(clock.isAgreed(), is(true));
    assertThat(errorMs(), is(0L));
  }

  @Test
  void temporaryClockJumpsDoNotChangeTheTime() {
    runFor(20_000);
    skewMs.put(OWN, 5_000L);
    skewMs.put("n1", -8_000L);
    runFor(120_000);
    assertThat(errorMs(), is(0L));
    skewMs.put("n2", 5_000L);
    skewMs.put("n3", 5_000L);
    runFor(ClusterClock.MIN_JUMP_MS - 10_000);
    assertThat("most clocks have jumped, but for less than MIN_JUMP_MS", errorMs(), is(0L));
    skewMs.clear();
    runFor(20_000);
    assertThat(errorMs(), is(0L));
  }

  @Test
  void offsetThatMostSourcesReportForLongIsAdopted() {
    runFor(20_000);
    for (String source : NODES) {
      skewMs.put(source, 5_000L);
    }
    runFor(ClusterClock.MIN_JUMP_MS + 10_000);
    assertThat(errorMs(), is(5_000L));
  }

  @Test
  void smallDifferencesAreCorrectedGradually() {
    runFor(10_000);
    NODES.forEach(node -> skewMs.put(node, 100L));
    skewMs.put(OWN, 100L);
    List<Long> errors = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      sampleAll();
      timers.advance(1_000);
      errors.add(clock.now() - trueMs());
    }
    assertThat(errors.get(0), lessThanOrEqualTo(60L));
    assertThat(Math.abs(errors.get(29) - 100), lessThanOrEqualTo(8L));
  }

  @Test
  void expiredSamplesAreIgnored() {
    sampleAll();
    timers.advance(ClusterClock.MAX_SAMPLE_AGE_MS + 1);
    skewMs.put(OWN, 100L);
    sample(OWN);
    sample(OWN);
    assertThat(clock.now() - trueMs() > 0, is(true));
  }
}
