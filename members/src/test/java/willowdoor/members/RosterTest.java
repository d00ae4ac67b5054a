package willowdoor.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Parsing and validation of the members configuration. */
class RosterTest {

  private static Map<String, Object> peer(String name, long number, String addr) {
    return new TreeMap<>(Map.of("name", name, "number", number, "addr", addr));
  }

  private static Map<String, Object> fields() {
    return new TreeMap<>(
        Map.of(
            "fleet",
            "f",
            "version",
            3L,
            "self",
            "b",
            "peers",
            new ArrayList<>(
                List.of(peer("b", 2, "10.0.0.2:7000"), peer("a", 1, "10.0.0.1:7000")))));
  }

  @Test
  void peersAreOrderedByNumber() throws IOException {
    MembersConfig config = MembersConfig.of(fields());
    assertEquals("a", config.roster().name(0));
    assertEquals(1, config.self());
    assertEquals(2, config.roster().majority());
    assertEquals(1_200, config.timing().minSuspicionMs(100));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "fleet|a b|members.fleet is not a name of 1 to 32 letters, digits, '.', '_', '-': 'a b'",
        "self|c|members.self is not among the peers: 'c'",
        "other|1|members.other is not known",
        "version|x|members.version is not a whole number from 0 to 2147483647: 'x'",
        "peers|x|members.peers is not a list",
        "timing|x|members.timing is not an object"
      })
  void invalidFieldIsReportedWithItsPath(String key, String value, String message) {
    Map<String, Object> fields = fields();
    fields.put(key, value);
    assertEquals(
        message, assertThrows(IOException.class, () -> MembersConfig.of(fields)).getMessage());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "a|3|10.0.0.3:7000|members.peers[2].name is a duplicate: 'a'",
        "c|1|10.0.0.3:7000|members.peers[2].number is a duplicate: '1'",
        "c|3|10.0.0.1:7000|members.peers[2].addr is a duplicate: '10.0.0.1:7000'",
        "c|3|host:7000|members.peers[2].addr is not a numeric address and port: 'host:7000'",
        "c|3|10.0.0.3:0|members.peers[2].addr is not a numeric address and port: '10.0.0.3:0'"
      })
  void invalidPeerIsReportedWithItsPath(String name, long number, String addr, String message) {
    Map<String, Object> fields = fields();
    List<Object> peers = new ArrayList<>((List<?>) fields.get("peers"));
    peers.add(peer(name, number, addr));
    fields.put("peers", peers);
    assertEquals(
        message, assertThrows(IOException.class, () -> MembersConfig.of(fields)).getMessage());
  }

  @Test
  void timingIsReadAndItsBoundsAreChecked() throws IOException {
    Map<String, Object> fields = fields();
    fields.put("timing", Map.of("probe_ms", 1_000L, "lifeguard", false));
    assertEquals(1_000, MembersConfig.of(fields).timing().probeMs());
    assertEquals(400, MembersConfig.of(fields).timing().ackTimeoutMs());
    fields.put("timing", Map.of("probe_ms", 5L));
    assertEquals(
        "members.timing.probe_ms is not a whole number from 10 to 3600000: '5'",
        assertThrows(IOException.class, () -> MembersConfig.of(fields)).getMessage());
  }
}
