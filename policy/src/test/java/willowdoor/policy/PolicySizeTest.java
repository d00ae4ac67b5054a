package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.Reader;
import java.io.StreamTokenizer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Limits the size of the decision code and of each file, and checks that deploy/balancer.toml lists
 * every file.
 */
class PolicySizeTest {

  private static final Path ROOT = Path.of("..");
  private static final Path SOURCES = ROOT.resolve("policy/src/main/java/willowdoor/policy");

  /**
   * Equivalent of 1,200 lines: the files had 11,991 tokens in 1,193 lines before they were
   * formatted.
   */
  private static final long MAX_TOKENS = 12_061;

  /** Equivalent of 350 lines with blank ones: before formatting, 11,991 tokens in 1,355 lines. */
  private static final long MAX_TOKENS_PER_FILE = 3_097;

  @Test
  void decisionCodeIsWithinItsSizeAndFullyListed() throws IOException {
    Set<Path> named = new TreeSet<>();
    String policy =
        Files.readAllLines(ROOT.resolve("deploy/balancer.toml")).stream()
            .filter(line -> line.startsWith("policy ="))
            .findFirst()
            .orElseThrow();
    for (Matcher m = Pattern.compile("\"([^\"]+)\"").matcher(policy); m.find(); ) {
      named.add(ROOT.resolve(m.group(1)));
    }
    Set<Path> all = new TreeSet<>();
    try (Stream<Path> files = Files.list(SOURCES)) {
      files.filter(f -> !f.endsWith("GatewayApi.java")).forEach(all::add);
    }
    assertEquals(all, named);
    long total = 0;
    for (Path file : named) {
      long tokens = countTokens(file);
      assertTrue(tokens <= MAX_TOKENS_PER_FILE, file + " has " + tokens + " tokens");
      total += tokens;
    }
    assertTrue(total <= MAX_TOKENS, total + " tokens in all");
  }

  /** Counts words, literals and single punctuation characters, without comments and white space. */
  private static long countTokens(Path file) throws IOException {
    try (Reader reader = Files.newBufferedReader(file)) {
      StreamTokenizer tokenizer = new StreamTokenizer(reader);
      tokenizer.resetSyntax();
      tokenizer.whitespaceChars(0, ' ');
      tokenizer.wordChars('a', 'z');
      tokenizer.wordChars('A', 'Z');
      tokenizer.wordChars('0', '9');
      tokenizer.wordChars('_', '_');
      tokenizer.quoteChar('"');
      tokenizer.quoteChar('\'');
      tokenizer.slashSlashComments(true);
      tokenizer.slashStarComments(true);
      long tokens = 0;
      while (tokenizer.nextToken() != StreamTokenizer.TT_EOF) {
        tokens++;
      }
      return tokens;
    }
  }
}
