package willowdoor.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A configuration that is replaced while the front door serves. */
@Timeout(30)
class ReloadTest {

  private final Peers before = new Peers();
  private final Peers after = new Peers();
  @TempDir
  private Path folder;

  @AfterEach
  void close() throws Exception {
    before.close();
    after.close();
  }

  private static void hangUp() throws Exception {
    String self = Long.toString(ProcessHandle.current().pid());
    assertEquals(0, new ProcessBuilder("kill", "-HUP", self).start().waitFor());
  }

  private static Handler onSevere(Runnable told) {
    return new Handler() {
      @Override
      public void publish(LogRecord line) {
        if (line.getLevel() == Level.SEVERE) {
          told.run();
        }
      }

      @Override
      public void flush() {
      }

      @Override
      public void close() {
      }
    };
  }

  @Test
  void aHangUpMovesToTheNewAddressesAndServingGoesOn() throws Exception {
    Path file = folder.resolve("config.json");
    FrontDoor door = before.start();
    Peers.next(before.watches);
    door.reloadOnHangUp(file);

    Files.writeString(file, "{\"listen\":");
    CountDownLatch unread = new CountDownLatch(1);
    Logger log = Logger.getLogger(FrontDoor.class.getName());
    Handler handler = onSevere(unread::countDown);
    log.addHandler(handler);
    hangUp();
    // Else both signals may find the whole file, and the second moves away from the first one's watch.
    assertTrue(unread.await(10, TimeUnit.SECONDS));
    log.removeHandler(handler);
    Files.writeString(file, after.config());
    hangUp();
    assertTrue(Peers.next(after.watches).contains("index=6 "));
    after.tell(Peers.list(8, true, Peers.entry("s-2", after.backend.getLocalPort(), "active")) + "\n");
    for (int i = 0; after.atCounter.isEmpty() || after.atBackend.isEmpty(); i++) {
      assertEquals(200, before.client().ask(Peers.get("r" + i, 3000)).status());
    }
  }
}
