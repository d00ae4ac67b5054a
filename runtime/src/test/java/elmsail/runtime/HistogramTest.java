package elmsail.runtime;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class HistogramTest {

  @Test
  void countsInBucketsWithInclusiveBounds() {
    Histogram histogram = new Histogram(10, 100);
    for (long ms : new long[] {-3, 10, 11, 100, 101}) {
      histogram.observe(ms);
    }
    assertThat(histogram.cumulativeCount(0), is(2L));
    assertThat(histogram.cumulativeCount(1), is(4L));
    assertThat(histogram.count(), is(5L));
    assertThat("a negative duration counts as 0", histogram.sumMs(), is(222L));
  }

  @Test
  void recentCoversOnlyNewObservations() {
    Histogram histogram = new Histogram(10, 100, 1_000);
    for (int i = 0; i < 98; i++) {
      histogram.observe(4);
    }
    histogram.observe(60);
    histogram.observe(400);
    assertThat(histogram.takeRecent(), is(new Histogram.Recent(100, 10, 100, 400)));
    histogram.observe(3);
    assertThat(
        "a quantile is never above the maximum",
        histogram.takeRecent(),
        is(new Histogram.Recent(1, 3, 3, 3)));
    assertThat(histogram.takeRecent(), is(new Histogram.Recent(0, 0, 0, 0)));
  }

  @Test
  void quantileAboveAllBoundsIsTheMaximum() {
    Histogram histogram = new Histogram(10);
    histogram.observe(7_000);
    assertThat(histogram.takeRecent(), is(new Histogram.Recent(1, 7_000, 7_000, 7_000)));
  }

  @Test
  void rejectsBoundsThatDoNotAscend() {
    assertThrows(IllegalArgumentException.class, () -> new Histogram(5, 5));
  }
}
