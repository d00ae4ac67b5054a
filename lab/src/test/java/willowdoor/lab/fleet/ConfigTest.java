package willowdoor.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What a front door's process is started with. */
class ConfigTest {

  @TempDir private Path folder;

  @Test
  void aTemplateIsFilledForEachFrontDoorAsThisOneSeesIt() throws IOException {
    ConfigTemplate template =
        new ConfigTemplate(
            Map.of("name", "n0", "address", "127.2.0.1:7072"),
            List.of(
                Map.of("peer", "n0", "peer_index", "0", "peer_address", "127.2.0.1:7072"),
                Map.of("peer", "n1", "peer_index", "1", "peer_address", "127.2.100.2:7100")));
    String toml =
        """
        [members]
        fleet = "lab"
        bind = "${address}"
        roster = [{each = "door", name = "${peer}", number = "${peer_index}", \
          address = "udp:${peer_address}"}]
        """;
    assertEquals(
        "{\"members\":{\"fleet\":\"lab\",\"bind\":\"127.2.0.1:7072\",\"roster\":["
            + "{\"name\":\"n0\",\"number\":0,\"address\":\"udp:127.2.0.1:7072\"},"
            + "{\"name\":\"n1\",\"number\":1,\"address\":\"udp:127.2.100.2:7100\"}]}}",
        template.fill(new TomlMapper().readTree(toml)).toString());
    assertThrows(
        IllegalArgumentException.class,
        () -> template.fill(new TomlMapper().readTree("a = '${nosuch}'")));
  }

  @Test
  void theLaunchLineIsTheDeploymentsWithAnotherJar() throws IOException {
    Path jar = Files.createFile(folder.resolve("some.jar"));
    Path archive = Files.createFile(folder.resolve("some.jsa"));
    Path deploy = folder.resolve("balancer.toml");
    Files.writeString(
        deploy,
        "run = \"exec java -Xmx48m -XX:SharedArchiveFile=a.jsa "
            + "-Djava.io.tmpdir=\\\"$TMPDIR\\\" -jar old.jar serve\"\n");
    List<String> command = LaunchLine.read(deploy, jar).command(folder, List.of("-Dx=1"));
    assertTrue(command.get(0).endsWith("java"));
    assertEquals(
        List.of(
            "-Xmx48m",
            "-XX:SharedArchiveFile=" + archive,
            "-Djava.io.tmpdir=" + folder,
            "-Dx=1",
            "-jar",
            jar.toString(),
            "serve"),
        command.subList(1, command.size()));
    Files.delete(archive);
    assertFalse(
        String.join(" ", LaunchLine.read(deploy, jar).command(folder, List.of())).contains("jsa"));
    Files.delete(jar);
    assertThrows(IOException.class, () -> LaunchLine.read(deploy, jar));
  }

  @Test
  void runsSideBySideHaveOtherAddresses() throws IOException {
    try (Loopback one = Loopback.claim();
        Loopback other = Loopback.claim()) {
      assertFalse(one.own("n0", 1).equals(other.own("n0", 1)));
      assertFalse(one.face("n0", "n1").equals(one.face("n1", "n0")));
      assertFalse(one.face("n0", "n1").equals(one.face("n0", "n2")));
      assertEquals(one.face("n0", "n1"), one.face("n0", "n1"));
    }
  }
}
