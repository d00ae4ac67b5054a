package elmsail.runtime;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import org.junit.jupiter.api.Test;

class PrometheusTextTest {
  private final Counters counters = new Counters();

  @Test
  void formatsCountersAndGauges() {
    counters.counter("calls.made-here").add(3);
    counters.gauge("voting");
    counters.counter("kept").set(-2);
    assertThat(
        PrometheusText.format(counters),
        is(
            """
            # TYPE elmsail_calls_made_here counter
            elmsail_calls_made_here 3
            # TYPE elmsail_voting gauge
            elmsail_voting 0
            # TYPE elmsail_kept gauge
            elmsail_kept -2
            """));
  }

  @Test
  void writesOneTypeLinePerFamily() {
    counters.counter(new MetricName("refused_A", "refused", "reason", "A")).add(1);
    counters.counter("other");
    counters.counter(new MetricName("refused_B", "refused", "reason", "say \"B\"\\\n")).add(2);
    assertThat(
        PrometheusText.format(counters),
        is(
            """
            # TYPE elmsail_refused counter
            elmsail_refused{reason="A"} 1
            elmsail_refused{reason="say \\"B\\"\\\\\\n"} 2
            # TYPE elmsail_other counter
            elmsail_other 0
            """));
  }

  @Test
  void formatsCumulativeBuckets() {
    Histogram sync = counters.histogram("sync_ms");
    sync.observe(1);
    sync.observe(40);
    sync.observe(9_000);
    String text = PrometheusText.format(counters);
    assertThat(text, containsString("# TYPE elmsail_sync_ms histogram\n"));
    assertThat(text, containsString("elmsail_sync_ms_bucket{le=\"1\"} 1\n"));
    assertThat(text, containsString("elmsail_sync_ms_bucket{le=\"20\"} 1\n"));
    assertThat(text, containsString("elmsail_sync_ms_bucket{le=\"50\"} 2\n"));
    assertThat(text, containsString("elmsail_sync_ms_bucket{le=\"5000\"} 2\n"));
    assertThat(
        text,
        endsWith(
            "elmsail_sync_ms_bucket{le=\"+Inf\"} 3\n"
                + "elmsail_sync_ms_sum 9041\n"
                + "elmsail_sync_ms_count 3\n"));
  }

  @Test
  void readsRegisteredSources() {
    long[] kept = {4};
    counters.registerCounter("bytes", () -> kept[0]);
    counters.registerGauge("size", () -> kept[0]);
    kept[0] = 9;
    assertThat(
        PrometheusText.format(counters),
        is(
            """
            # TYPE elmsail_bytes counter
            elmsail_bytes 9
            # TYPE elmsail_size gauge
            elmsail_size 9
            """));
  }

  @Test
  void labelsInvariantsByName() {
    Invariants invariants = Invariants.counting(counters);
    invariants.check(Invariant.ACCEPTED_BALLOT_PROMISED, false, () -> "");
    assertThat(
        PrometheusText.format(counters),
        containsString(
            "# TYPE elmsail_invariant_violations counter\n"
                + "elmsail_invariant_violations{name=\"ACCEPTED_BALLOT_PROMISED\"} 1\n"));
  }

  @Test
  void sizeIsBounded() {
    String name = "n".repeat(1_000);
    for (int i = 0; i < 100; i++) {
      counters.counter(name + i).add(1);
    }
    counters.counter("short").add(1);
    String text = PrometheusText.format(counters);
    assertThat(text.length(), lessThanOrEqualTo(PrometheusText.MAX_CHARS));
    assertThat("only complete families", text, endsWith(" 1\n"));
    assertThat(text, not(containsString(name + "99 ")));
  }
}
