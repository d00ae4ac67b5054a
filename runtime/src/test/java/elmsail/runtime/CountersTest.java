package elmsail.runtime;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import org.junit.jupiter.api.Test;

class CountersTest {

  @Test
  void tellsThoseThatChanged() {
    ManualTimers clock = new ManualTimers();
    Counters counters = new Counters(clock);
    Counters.Counter calls = counters.of("calls");
    calls.add(3);
    counters.add("lost");
    counters.of("idle");
    assertThat(counters.changed(), is("calls=3 lost=1"));
    assertThat(counters.changed(), is(nullValue()));
    counters.of("calls").set(7);
    assertThat(counters.changed(), is("calls=7"));
    counters.add("lost");
    clock.pass(10_000);
    assertThat(counters.changed(), is(nullValue()));
    assertThat(clock.waiting(), is(1));
  }

  @Test
  void tellsGaugesThatWereKeptElsewhere() {
    Counters counters = new Counters();
    long[] kept = {0};
    counters.readGauge("size", () -> kept[0]);
    counters.read("bytes", () -> 5);
    assertThat(counters.changed(), is("bytes=5"));
    kept[0] = 3;
    assertThat(counters.changed(), is("size=3"));
    kept[0] = 0;
    assertThat(counters.changed(), is("size=0"));
  }

  @Test
  void tellsOfHistogramsWhatIsNew() {
    Counters counters = new Counters();
    Histogram sync = counters.histogram("sync_ms");
    sync.observe(30);
    counters.of("calls").add(1);
    assertThat(
        counters.changed(),
        is("calls=1 sync_ms_count=1 sync_ms_p50=30 sync_ms_p99=30 sync_ms_max=30"));
    assertThat(counters.changed(), is(nullValue()));
    sync.observe(3);
    assertThat(counters.changed(), is("sync_ms_count=1 sync_ms_p50=3 sync_ms_p99=3 sync_ms_max=3"));
  }
}
