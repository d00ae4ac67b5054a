package elmsail.app;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * The packages that `deploy/system.toml` lists are those of the programs that its `build` and `run`
 * lines call, no more and no fewer; README names the same.
 */
class DeployPackagesTest {

  private static final String JDK = "openjdk-17-jdk-headless";

  /** Debian's packages for each program; Maven brings a runtime but no compiler. */
  private static final Map<String, Set<String>> PACKAGES =
      Map.of(
          "sh", Set.of("dash"),
          "mvn", Set.of("maven", JDK),
          "java", Set.of(JDK),
          "timeout", Set.of("coreutils"),
          "mkdir", Set.of("coreutils"),
          "rm", Set.of("coreutils"),
          "mv", Set.of("coreutils"),
          "cp", Set.of("coreutils"));

  private static Path root() {
    Path folder = Path.of("").toAbsolutePath();
    while (!Files.exists(folder.resolve("deploy/system.toml"))) {
      folder = folder.getParent();
    }
    return folder;
  }

  private static String read(String path) throws IOException {
    return Files.readString(root().resolve(path));
  }

  /** What differs between the list and the programs called, a line each. */
  private static List<String> faults(String deploy, String script) throws IOException {
    JsonNode file = new TomlMapper().readTree(deploy);
    Set<String> programs = new TreeSet<>(ShellPrograms.of(file.path("build").asText()));
    programs.addAll(ShellPrograms.of(script));
    file.path("roles")
        .forEach(role -> programs.add(role.path("run").asText().trim().split("\\s+")[0]));
    List<String> faults = new ArrayList<>();
    Set<String> needed = new TreeSet<>();
    for (String program : programs) {
      if (PACKAGES.containsKey(program)) {
        needed.addAll(PACKAGES.get(program));
      } else {
        faults.add("no package known for " + program);
      }
    }
    List<String> listed = new ArrayList<>();
    file.path("packages").forEach(name -> listed.add(name.asText()));
    needed.stream().filter(name -> !listed.contains(name)).forEach(n -> faults.add("missing " + n));
    listed.stream().filter(name -> !needed.contains(name)).forEach(n -> faults.add("unused " + n));
    if (Set.copyOf(listed).size() < listed.size()) {
      faults.add("listed twice");
    }
    return faults;
  }

  @Test
  void listsThePackagesThatBuildAndRolesCall() throws IOException {
    assertThat(faults(read("deploy/system.toml"), read("deploy/system.sh")), is(empty()));
  }

  @Test
  void buildIsTheScriptThatIsParsed() throws IOException {
    JsonNode file = new TomlMapper().readTree(read("deploy/system.toml"));
    assertThat(file.path("build").asText(), is("sh deploy/system.sh"));
    assertThat(file.path("roles").size(), is(3));
  }

  @Test
  void readmeNamesTheSamePackages() throws IOException {
    List<String> listed = new ArrayList<>();
    new TomlMapper()
        .readTree(read("deploy/system.toml"))
        .path("packages")
        .forEach(name -> listed.add(name.asText()));
    assertThat(read("README.md"), containsString("`" + String.join(" ", listed) + "`"));
  }

  @Test
  void reportsMissingAndUnusedPackages() throws IOException {
    String deploy = read("deploy/system.toml");
    String script = read("deploy/system.sh");
    JsonNode listed = new TomlMapper().readTree(deploy).path("packages");
    for (JsonNode name : listed) {
      String without = deploy.replace("\"" + name.asText() + "\"", "\"curl\"");
      assertThat(faults(without, script), contains("missing " + name.asText(), "unused curl"));
    }
    assertThat(faults(deploy, script + "curl x\n"), contains("no package known for curl"));
    String otherRole = deploy.replaceFirst("run = \"java", "run = \"python3");
    assertThat(faults(otherRole, script), contains("no package known for python3"));
  }

  @Test
  void findsProgramsInFunctionsListsAndBehindTimeout() {
    String script =
        "# gawk\nset -e\nA=1 one -x 2>&1 && two > f || \"three\" 'a; four' >&2\nname() {\n"
            + "  timeout 60 five \\\n    six ; seven | eight & nine\n}\nname ten\n";
    String plain = script.replace("\"three\"", "three");
    assertThat(
        ShellPrograms.of(plain),
        contains("eight", "five", "nine", "one", "seven", "three", "timeout", "two"));
    assertThrows(IllegalArgumentException.class, () -> ShellPrograms.of(script));
  }

  @Test
  void rejectsScriptsThatCannotBeParsed() {
    for (String script :
        List.of(
            "a=$(curl x)",
            "echo `curl x`",
            "echo \"$(curl x)\"",
            "if curl x; then rm y; fi",
            "cat <<E\nE",
            "$tool x",
            "/usr/bin/curl x",
            "exec curl",
            "(curl x)")) {
      assertThrows(IllegalArgumentException.class, () -> ShellPrograms.of(script), script);
    }
  }
}
