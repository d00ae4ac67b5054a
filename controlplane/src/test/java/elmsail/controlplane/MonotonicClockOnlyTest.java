package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The time of day may jump by seconds: nothing that agrees, leases or ages may look at it. */
class MonotonicClockOnlyTest {
  private static final List<String> MODULES =
      List.of(
          "batch", "config", "consensus", "controlplane", "gateway", "rpc", "runtime", "storage");

  private static final Pattern TIME_OF_DAY =
      Pattern.compile(
          "currentTimeMillis|Instant\\.now|Clock\\.system|Date\\(\\)|(Local|Zoned|Offset)\\w*\\.now");

  @Test
  void noMainSourceReadsTheTimeOfDay() throws IOException {
    List<String> found = new ArrayList<>();
    int read = 0;
    for (String module : MODULES) {
      try (Stream<Path> files = Files.walk(Path.of("..", module, "src", "main", "java"))) {
        for (Path file : files.filter(one -> one.toString().endsWith(".java")).toList()) {
          read++;
          if (TIME_OF_DAY.matcher(Files.readString(file)).find()) {
            found.add(file.toString());
          }
        }
      }
    }
    assertThat(read, greaterThan(100));
    assertThat(found, empty());
  }
}
