package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.greaterThan;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The time of day may jump by seconds, so consensus, leases and ages must not depend on it. The
 * time of day is read in one class. Only the clock exchange uses that class, to agree with the
 * other machines on the time of day that is reported to the platform.
 */
class MonotonicClockOnlyTest {
  private static final List<String> MODULES =
      List.of(
          "batch", "config", "consensus", "controlplane", "gateway", "rpc", "runtime", "storage");

  private static final Pattern TIME_OF_DAY =
      Pattern.compile(
          "currentTimeMillis|Instant\\.now|Clock\\.system|Date\\(\\)|(Local|Zoned|Offset)\\w*\\.now");

  private static final Pattern WALL_CLOCK = Pattern.compile("\\bWallClock\\b");

  @Test
  void onlyTheWallClockReadsTheTimeOfDay() throws IOException {
    assertThat(sourcesWith(TIME_OF_DAY), contains("WallClock.java"));
  }

  @Test
  void onlyTheClockExchangeUsesTheWallClock() throws IOException {
    assertThat(
        sourcesWith(WALL_CLOCK),
        containsInAnyOrder("WallClock.java", "ClockExchange.java", "NodeEnvironment.java"));
  }

  private static List<String> sourcesWith(Pattern pattern) throws IOException {
    List<String> found = new ArrayList<>();
    int filesRead = 0;
    for (String module : MODULES) {
      try (Stream<Path> files = Files.walk(Path.of("..", module, "src", "main", "java"))) {
        for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
          filesRead++;
          if (pattern.matcher(Files.readString(file)).find()) {
            found.add(file.getFileName().toString());
          }
        }
      }
    }
    assertThat(filesRead, greaterThan(100));
    return found;
  }
}
