package willowdoor.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The configuration is replaced while the gateway serves. */
@Timeout(30)
class ReloadTest {

  private final Peers before = new Peers();
  private final Peers after = new Peers();
  @TempDir private Path folder;

  @AfterEach
  void close() throws Exception {
    before.close();
    after.close();
  }

  private static void sendSighup() throws Exception {
    String self = Long.toString(ProcessHandle.current().pid());
    assertEquals(0, new ProcessBuilder("kill", "-HUP", self).start().waitFor());
  }

  private static Handler on(Level level, Consumer<String> told) {
    return new Handler() {
      @Override
      public void publish(LogRecord line) {
        if (line.getLevel() == level) {
          told.accept(line.getMessage());
        }
      }

      @Override
      public void flush() {}

      @Override
      public void close() {}
    };
  }

  @Test
  void sighupMovesToTheNewAddressesAndServingContinues() throws Exception {
    Path file = folder.resolve("config.json");
    FrontDoor door = before.start();
    Peers.next(before.watches);
    door.reloadOnHangUp(file);

    Files.writeString(file, "{\"listen\":");
    CountDownLatch unread = new CountDownLatch(1);
    Logger log = Logger.getLogger(SighupHandler.class.getName());
    Handler handler = on(Level.SEVERE, line -> unread.countDown());
    log.addHandler(handler);
    sendSighup();
    // Otherwise both signals may find the complete file, and the second would move away from the
    // watch that the first opened.
    assertTrue(unread.await(10, TimeUnit.SECONDS));
    log.removeHandler(handler);
    Files.writeString(file, after.config());
    sendSighup();
    assertTrue(Peers.next(after.watches).contains("index=6 "));
    after.tell(
        Peers.list(8, true, Peers.entry("s-2", after.backend.getLocalPort(), "active")) + "\n");
    for (int i = 0; after.atCounter.isEmpty() || after.atBackend.isEmpty(); i++) {
      assertEquals(200, before.client().ask(Peers.get("r" + i, 3000)).status());
    }
  }

  /** The previous configuration stays in force, and the log names the invalid key. */
  @ParameterizedTest
  @CsvSource({
    "discovery, other",
    "counter, other",
    "'\"counter\":\"127.0.0.1:', '\"counter\":\"nowhere:'",
    "'\"discovery\":\"127.0.0.1:', '\"discovery\":\"127.0.0.1:x'"
  })
  void invalidAddressKeepsTheOldConfigurationAndItsKeyIsLogged(String right, String wrong)
      throws Exception {
    Path file = folder.resolve("config.json");
    FrontDoor door = before.start();
    Peers.next(before.watches);
    door.reloadOnHangUp(file);
    BlockingQueue<String> logged = new LinkedBlockingQueue<>();
    Handler handler = on(Level.SEVERE, logged::add);
    Logger log = Logger.getLogger(SighupHandler.class.getName());
    log.addHandler(handler);
    try {
      Files.writeString(file, after.config().replace(right, wrong));
      sendSighup();
      String key = right.contains("discovery") ? "discovery" : "counter";
      assertTrue(Peers.next(logged).contains(key + " is not an address and port"));
    } finally {
      log.removeHandler(handler);
    }
    assertEquals(200, before.client().ask(Peers.get("r1", 3000)).status());
    before.tell(Peers.list(8, false) + "\n");
    assertEquals(200, before.client().ask(Peers.get("r2", 3000)).status());
    assertTrue(after.watches.isEmpty() && before.watches.isEmpty());
  }

  /**
   * The read for the first signal is blocked until the file for the second one exists: the newer
   * file must win.
   */
  @Test
  void newerOfTwoSighupsWins() throws Exception {
    Path file = folder.resolve("config.json");
    assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
    FrontDoor door = before.start();
    Peers.next(before.watches);
    door.reloadOnHangUp(file);
    BlockingQueue<String> moves = new LinkedBlockingQueue<>();
    Handler handler =
        on(
            Level.INFO,
            line -> {
              if (line.startsWith("discovery is at")) {
                moves.add(line);
              }
            });
    Logger log = Logger.getLogger(FrontDoor.class.getName());
    log.addHandler(handler);
    sendSighup();
    try (OutputStream older = Files.newOutputStream(file)) {
      Path newer = folder.resolve("newer.json");
      Files.writeString(newer, after.config());
      Files.move(newer, file, StandardCopyOption.REPLACE_EXISTING);
      sendSighup();
      // The second signal is being handled: its thread waits for the first, or has already moved.
      while (after.watches.isEmpty()
          && handlers().noneMatch(t -> t.getState() == Thread.State.BLOCKED)) {
        Thread.onSpinWait();
      }
      older.write(before.config().getBytes(StandardCharsets.UTF_8));
    }
    try {
      Peers.next(moves);
      String last = Peers.next(moves);
      assertTrue(last.contains(":" + after.discovery.getLocalPort() + " now"), last);
    } finally {
      log.removeHandler(handler);
    }
    assertTrue(Peers.next(after.watches).contains("index=6 "));
  }

  /** The Java runtime's threads that handle SIGHUP. */
  private static Stream<Thread> handlers() {
    return Thread.getAllStackTraces().keySet().stream()
        .filter(t -> t.getName().equals("SIGHUP handler"));
  }
}
