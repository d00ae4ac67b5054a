package willowdoor.front.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import willowdoor.front.Peers;

class JsonObjectScannerTest {

  private static final String INDENTED =
      "{\n  \"version\": 8,\n  \"full\": true,\n  \"servers\": [\n"
          + "    {\n      \"id\": \"s-{\\\"}]\\\\\",\n      \"addr\": \"127.0.0.1:80\","
          + " \"state\": \"active\"\n"
          + "    }\n  ]\n}";

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /**
   * The list spans several lines, has braces and quotes inside a name, and is split at each
   * position in turn.
   */
  @Test
  void indentedListIsCompleteWhereverItIsSplit() throws Exception {
    byte[] all = bytes("\n" + INDENTED + "\r\n\n" + Peers.list(9, false) + "\n");
    for (int cut = 0; cut <= all.length; cut++) {
      JsonObjectScanner scanner = new JsonObjectScanner();
      List<byte[]> found = new ArrayList<>(scanner.read(Arrays.copyOf(all, cut)));
      found.addAll(scanner.read(Arrays.copyOfRange(all, cut, all.length)));
      assertEquals(2, found.size());
      assertEquals(
          BackendListUpdate.hashId("s-{\"}]\\"),
          BackendListUpdate.parse(found.get(0), 0).entries().get(0).id());
      assertEquals(9, BackendListUpdate.parse(found.get(1), 0).version());
      assertFalse(scanner.insideObject() || scanner.malformed());
    }
  }

  @Test
  void inputThatIsNotAnObjectIsMalformedAfterACompleteObject() {
    JsonObjectScanner scanner = new JsonObjectScanner();
    assertEquals(1, scanner.read(bytes("{}\n]{}")).size());
    assertTrue(scanner.malformed());
  }

  @Test
  void endlessObjectIsMalformedBeyondTheSizeLimit() {
    JsonObjectScanner scanner = new JsonObjectScanner();
    for (int mb = 0; mb < 4; mb++) {
      assertFalse(scanner.malformed());
      scanner.read(bytes("{" + " ".repeat(1 << 20)));
    }
    assertTrue(scanner.malformed());
  }
}
