package elmsail.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LogScanTest {

  @ParameterizedTest
  @ValueSource(
      strings = {
        "INFO elmsail.gateway - requests 12, invariant_position_changed 0, invariant_lost=0",
        "INFO elmsail.gateway - started, 812 ms after its main began",
        "WARN the loop has ended"
      })
  void passesOverCleanLines(String line) {
    assertThat(LogScan.broken(line), is(false));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "INFO counters invariant_position_changed 0, invariant_lost=2",
        "ERROR elmsail.batch - invariant broken: position 3 changed",
        "ERROR elmsail.runtime.NettyLoop - fault 1 on the loop",
        "java.lang.OutOfMemoryError: Java heap space"
      })
  void findsBrokenOnes(String line) {
    assertThat(LogScan.broken(line), is(true));
  }
}
