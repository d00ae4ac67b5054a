package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import elmsail.runtime.Counters;
import org.junit.jupiter.api.Test;

class ControlPlaneCountersTest {
  private final Counters counters = new Counters();
  private final ControlPlaneCounters controlPlaneCounters = new ControlPlaneCounters(counters);

  @Test
  void countsChangesByOutcome() {
    controlPlaneCounters.countChange(200);
    for (int status : new int[] {400, 412, 503}) {
      controlPlaneCounters.countChange(status);
    }
    controlPlaneCounters.countChange(504);
    controlPlaneCounters.countChange(504);
    assertThat(counters.counter("control_orders_acknowledged").value(), is(1L));
    assertThat(counters.counter("control_orders_refused").value(), is(3L));
    assertThat(counters.counter("control_orders_unclear").value(), is(2L));
  }
}
