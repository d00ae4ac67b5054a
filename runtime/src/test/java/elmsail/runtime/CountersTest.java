package elmsail.runtime;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import org.junit.jupiter.api.Test;

class CountersTest {

  @Test
  void logsMetricsThatChanged() {
    ManualTimers clock = new ManualTimers();
    Counters counters = new Counters(clock);
    Counters.Counter calls = counters.counter("calls");
    calls.add(3);
    counters.increment("lost");
    counters.counter("idle");
    assertThat(counters.formatChanges(), is("calls=3 lost=1"));
    assertThat(counters.formatChanges(), is(nullValue()));
    counters.counter("calls").set(7);
    assertThat(counters.formatChanges(), is("calls=7"));
    counters.increment("lost");
    clock.advance(10_000);
    assertThat(counters.formatChanges(), is(nullValue()));
    assertThat(clock.pendingTimers(), is(1));
  }

  @Test
  void logsRegisteredSources() {
    Counters counters = new Counters();
    long[] kept = {0};
    counters.registerGauge("size", () -> kept[0]);
    counters.registerCounter("bytes", () -> 5);
    assertThat(counters.formatChanges(), is("bytes=5"));
    kept[0] = 3;
    assertThat(counters.formatChanges(), is("size=3"));
    kept[0] = 0;
    assertThat(counters.formatChanges(), is("size=0"));
  }

  @Test
  void logsRecentObservationsOfHistograms() {
    Counters counters = new Counters();
    Histogram sync = counters.histogram("sync_ms");
    sync.observe(30);
    counters.counter("calls").add(1);
    assertThat(
        counters.formatChanges(),
        is("calls=1 sync_ms_count=1 sync_ms_p50=30 sync_ms_p99=30 sync_ms_max=30"));
    assertThat(counters.formatChanges(), is(nullValue()));
    sync.observe(3);
    assertThat(
        counters.formatChanges(), is("sync_ms_count=1 sync_ms_p50=3 sync_ms_p99=3 sync_ms_max=3"));
  }
}
