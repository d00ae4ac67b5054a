package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The decision code is small, each file of it too, and the deployment names all of it. */
class PolicySizeTest {

  private static final Path ROOT = Path.of("..");
  private static final Path SOURCES = ROOT.resolve("policy/src/main/java/willowdoor/policy");

  /** At most 1,200 lines that are not blank in all, comments counted, and 350 lines a file. */
  @Test
  void theDecisionCodeIsSmallAndNamedWhole() throws IOException {
    Set<Path> named = new TreeSet<>();
    String policy = Files.readAllLines(ROOT.resolve("deploy/balancer.toml")).stream()
        .filter(line -> line.startsWith("policy =")).findFirst().orElseThrow();
    for (Matcher m = Pattern.compile("\"([^\"]+)\"").matcher(policy); m.find();) {
      named.add(ROOT.resolve(m.group(1)));
    }
    Set<Path> all = new TreeSet<>();
    try (Stream<Path> files = Files.list(SOURCES)) {
      files.filter(f -> !f.endsWith("GatewayApi.java")).forEach(all::add);
    }
    assertEquals(all, named);
    long lines = 0;
    for (Path file : named) {
      long own = Files.readAllLines(file).size();
      assertTrue(own <= 350, file + " has " + own + " lines");
      lines += Files.readAllLines(file).stream().filter(line -> !line.isBlank()).count();
    }
    assertTrue(lines <= 1200, lines + " lines that are not blank");
  }
}
