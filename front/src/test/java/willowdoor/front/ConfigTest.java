package willowdoor.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A configuration that cannot be read is rejected with a readable message that names the invalid
 * key.
 */
class ConfigTest {

  private final Peers peers = new Peers();
  @TempDir private Path folder;
  private String good;

  @BeforeEach
  void write() {
    good = peers.config(Peers.entry("s-1", 7000, "active")).strip();
  }

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  private Config read(String text) throws IOException {
    Path file = folder.resolve("config.json");
    Files.write(file, text.getBytes(StandardCharsets.ISO_8859_1));
    return Config.read(file);
  }

  private String refused(String text) {
    return assertThrows(IOException.class, () -> read(text), text).getMessage();
  }

  @Test
  void validConfigurationIsRead() throws IOException {
    Config config = read(good + "\n");
    assertEquals("n0", config.name());
    assertEquals(1, config.known().entries().size());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "\"listen\":\"127.0.0.1:0\" | \"listen\":7 | listen",
        "\"listen\" | \"listens\" | listen",
        "\"discovery\":\" | \"discovery\":\"somewhere: | discovery",
        "\"counter\" | \"counters\" | counter",
        "\"seed\":\"8c | \"seed\":\"no | seed",
        "\"settings\":{ | \"management\":\"here\",\"settings\":{ | management",
        "\"settings\":{ | \"limits\":{\"sockets\":\"many\"},\"settings\":{ | limits.sockets",
        "\"settings\":{ | \"limits\":{\"sockets\":3},\"settings\":{ | limits.sockets",
        "\"addr\":\"127 | \"addr\":\"x127 | known",
        "\"settings\" | \"setting\" | settings",
        "\"Profiles\" | \"Others\" | settings",
        "\"Tariffs\" | \"Others\" | settings",
        "\"Name\":\"buy\" | \"Nam\":\"buy\" | settings.Profiles[1].Name",
        "\"Name\":\"basic\" | \"Name\":4 | settings.Tariffs[0].Name",
        "\"Name\":\"buy\" | \"Name\":buy | /settings/Profiles/1/Name",
        "\"DeadlineMs\":4000 | \"DeadlineMs\":4,000 | /settings/Profiles/0",
        "\"CountLimitMs\":50 | \"CountLimitMs\":0x50 | /settings/Extra/CountLimitMs"
      })
  void invalidKeyIsNamed(String part, String bad, String key) {
    assertTrue(good.contains(part), part);
    String message = refused(good.replace(part, bad));
    assertTrue(message.contains(key), message);
  }

  /**
   * A file that is still being written, or that was overwritten by a shorter one, looks like this.
   */
  @Test
  void truncatedConfigurationOrTrailingContentIsRejected() {
    for (int end = 0; end < good.length(); end++) {
      refused(good.substring(0, end));
    }
    assertTrue(refused(good.substring(0, good.indexOf("4000"))).contains("/settings/Profiles/0"));
    assertTrue(refused(good + good.substring(good.length() - 9)).contains("content follows"));
    assertTrue(refused(good + "{}").contains("content follows"));
  }

  @Test
  void endlesslyNestedConfigurationIsRejected() {
    assertTrue(refused("{\"name\":" + "[".repeat(100_000)).contains("/name"));
  }

  /**
   * With any bytes changed, the configuration is read or rejected with an IOException; anything
   * else would crash the process at startup.
   */
  @Test
  void corruptedConfigurationIsReadOrRejected() throws IOException {
    Random random = new Random(28);
    int refused = 0;
    for (int i = 0; i < 2_000; i++) {
      StringBuilder garbled = new StringBuilder(good);
      for (int n = random.nextInt(3); n >= 0; n--) {
        int at = random.nextInt(garbled.length());
        switch (random.nextInt(3)) {
          case 0 -> garbled.setCharAt(at, (char) random.nextInt(256));
          case 1 -> garbled.deleteCharAt(at);
          default -> garbled.insert(at, "\"{}[]:,0-9e.".charAt(random.nextInt(12)));
        }
      }
      try {
        read(garbled.toString());
      } catch (IOException e) {
        refused++;
        assertTrue(e.getMessage() != null && !e.getMessage().isBlank(), garbled.toString());
      }
    }
    assertTrue(refused > 400, "refused " + refused);
  }
}
