package elmsail.rpc;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import elmsail.runtime.Counters;
import elmsail.runtime.PrometheusText;
import java.lang.reflect.Field;
import org.junit.jupiter.api.Test;

class RpcCountersTest {

  @Test
  void everyCounterIsRegisteredWithTheProcessMetrics() throws IllegalAccessException {
    RpcCounters own = new RpcCounters();
    Counters counters = new Counters();
    own.registerWith(counters);
    long next = 101;
    for (Field field : RpcCounters.class.getFields()) {
      field.setLong(own, next++);
    }
    String text = PrometheusText.format(counters);
    for (long value = 101; value < next; value++) {
      long expected = value;
      assertThat(
          "lines with " + value,
          text.lines().filter(line -> line.endsWith(" " + expected)).count(),
          is(1L));
    }
  }
}
