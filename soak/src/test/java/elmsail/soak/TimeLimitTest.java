package elmsail.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class TimeLimitTest {
  private final AtomicLong stalledMs = new AtomicLong(700);

  @Test
  void limitWithoutStallsEndsByTheClock() {
    assertThat(new TimeLimit(new SoakClock(), stalledMs::get, 0).isOver(), is(true));
    assertThat(new TimeLimit(new SoakClock(), stalledMs::get, 600_000).isOver(), is(false));
  }

  @Test
  void onlyStallsFromNowOnLengthenIt() {
    TimeLimit limit = new TimeLimit(new SoakClock(), stalledMs::get, 0);
    assertThat(limit.isOver(), is(true));
    stalledMs.addAndGet(600_000);
    assertThat(limit.isOver(), is(false));
    assertThat(new TimeLimit(new SoakClock(), stalledMs::get, 0).isOver(), is(true));
  }
}
