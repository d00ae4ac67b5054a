package elmsail.app;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** The types, members and tests that the documents name stand in the sources under these names. */
class DocumentedTypesTest {
  private static final Path ROOT = Path.of("..");

  /** Documents about the serving tier; those of the gateway in service name their own. */
  private static final List<String> TIER_DOCUMENTS =
      List.of(
          "architecture.md",
          "glossary.md",
          "system.md",
          "hardening.md",
          "decisions.md",
          "tier-operations.md",
          "soak.md");

  private static final Pattern CODE = Pattern.compile("`([^`\n]+)`");
  private static final Pattern TYPE_AND_MEMBER =
      Pattern.compile("([A-Z][A-Za-z]*[a-z][A-Za-z0-9]*)(?:\\.([A-Za-z_]\\w*))?");
  private static final Pattern TEST_AND_METHOD =
      Pattern.compile("\\b([A-Z]\\w*Test)\\b(?:\\.([a-z]\\w*))?");
  private static final Pattern DECLARATION =
      Pattern.compile("\\b(?:class|interface|enum|record)\\s+([A-Z]\\w*)");

  /** The text of the files that declare a type, by its simple name. */
  private static final Map<String, String> SOURCES = new HashMap<>();

  @BeforeAll
  static void readSources() throws IOException {
    try (Stream<Path> files = Files.walk(ROOT)) {
      files
          .filter(file -> file.toString().matches(".*/src/(main|test)/java/.*\\.java"))
          .forEach(DocumentedTypesTest::readSource);
    }
  }

  private static void readSource(Path file) {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    Matcher declarations = DECLARATION.matcher(text);
    while (declarations.find()) {
      SOURCES.merge(declarations.group(1), text, String::concat);
    }
  }

  @Test
  void everyTypeOfTheGlossaryExists() throws IOException {
    List<String> missing = new ArrayList<>();
    int named = 0;
    for (String line : Files.readAllLines(ROOT.resolve("docs/glossary.md"))) {
      String[] cells = line.split("\\|");
      if (cells.length != 4) {
        continue;
      }
      Matcher code = CODE.matcher(cells[3]);
      while (code.find()) {
        Matcher name = TYPE_AND_MEMBER.matcher(code.group(1));
        assertThat(line, name.matches(), is(true));
        named++;
        addIfMissing(name.group(1), name.group(2), line, missing);
      }
    }
    assertThat(missing, empty());
    assertThat("types named by the glossary", named, greaterThan(100));
  }

  @Test
  void everyTypeOfTheArchitecturePageExists() throws IOException {
    List<String> missing = new ArrayList<>();
    for (String line : Files.readAllLines(ROOT.resolve("docs/architecture.md"))) {
      Matcher code = CODE.matcher(line);
      while (code.find()) {
        Matcher name = TYPE_AND_MEMBER.matcher(code.group(1));
        if (name.matches()) {
          addIfMissing(name.group(1), name.group(2), line, missing);
        }
      }
    }
    assertThat(missing, empty());
  }

  @Test
  void everyTestThatADocumentNamesExists() throws IOException {
    List<String> missing = new ArrayList<>();
    for (String document : TIER_DOCUMENTS) {
      for (String line : Files.readAllLines(ROOT.resolve("docs").resolve(document))) {
        Matcher test = TEST_AND_METHOD.matcher(line);
        while (test.find()) {
          addIfMissing(test.group(1), test.group(2), document + ": " + line, missing);
        }
      }
    }
    assertThat(missing, empty());
  }

  private static void addIfMissing(String type, String member, String line, List<String> missing) {
    String source = SOURCES.get(type);
    boolean there =
        source != null
            && (member == null || Pattern.compile("\\b" + member + "\\b").matcher(source).find());
    if (!there) {
      missing.add((member == null ? type : type + "." + member) + " in: " + line);
    }
  }
}
