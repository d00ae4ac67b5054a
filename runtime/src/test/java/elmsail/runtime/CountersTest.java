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
}
