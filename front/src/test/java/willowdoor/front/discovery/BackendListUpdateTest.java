package willowdoor.front.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import willowdoor.front.Peers;

/** A list is accepted completely or not at all. */
class BackendListUpdateTest {

  private static final double NOW = 1.8e12;

  private static BackendListUpdate parse(String list) throws IOException {
    return BackendListUpdate.parse(list.getBytes(StandardCharsets.UTF_8), NOW);
  }

  private static String entry(String more) {
    return "{\"id\":\"s-1\",\"addr\":\"127.0.0.1:80\",\"state\":\"active\"" + more + "}";
  }

  /** An invalid list ends the attempt and changes nothing. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"version\":9,\"full\":true,\"servers\":[\"x\",null]}",
        "{\"version\":9,\"full\":true,\"servers\":[{\"addr\":\"127.0.0.1:80\",\"state\":\"active\"}]}",
        "{\"version\":9,\"full\":true,\"servers\":[{\"id\":\"s-1\",\"addr\":\"x\",\"state\":\"active\"}]}",
        "{\"version\":9,\"full\":\"no\",\"servers\":[]}",
        "{\"version\":9,\"full\":true}",
        "{\"full\":true,\"servers\":[]}",
        "{\"version\":1e400,\"full\":true,\"servers\":[]}",
        "{\"version\":99999999999999999999,\"full\":true,\"servers\":[]}",
        "{\"version\":-1,\"full\":true,\"servers\":[]}"
      })
  void invalidMessageIsRejected(String list) {
    assertThrows(IOException.class, () -> parse(list));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "\"weight\":-1",
        "\"weight\":1e999",
        "\"weight\":\"much\"",
        "\"cell\":\"c\"",
        "\"started_ms\":1e999",
        "\"started_ms\":1800000070000",
        "\"started_ms\":\"now\""
      })
  void invalidEntryIsRejected(String field) {
    String list = Peers.list(9, true, entry("," + field));
    assertThrows(IOException.class, () -> parse(list));
  }

  @Test
  void absentFieldHasItsDefault() throws IOException {
    BackendListUpdate update =
        parse(Peers.list(9, false, entry(""), Peers.entry("s-2", 80, "left")));
    assertEquals(2, update.entries().size());
    assertEquals(1, update.entries().get(0).capacity());
    assertEquals(0, update.entries().get(0).startedMs());
    assertEquals(
        NOW + 5_000,
        parse(Peers.list(9, false, entry(",\"started_ms\":1800000005000")))
            .entries()
            .get(0)
            .startedMs());
  }
}
