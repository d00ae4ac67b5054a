package elmsail.storage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.storage.TornFiles.PowerLost;
import elmsail.storage.TornFiles.Rest;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** The power is lost at every operation; what was not synced is then kept, lost or torn. */
class PowerLossTest {
  private static final int TORN = 4;

  /** Returns whether the power was lost before the story's end. */
  private static boolean response(
      Script script, int lossAt, Rest rest, long chance, Totals totals) {
    TornFiles files = new TornFiles(script.seed * 31 + chance);
    script.spoiled.accept(files);
    files.lossAt = lossAt;
    Story story = new Story(files, script.seed, script.mostBytes, script.names, script.sizes);
    boolean lost = false;
    try {
      story.open();
      for (int i = 0; i < script.writes; i++) {
        story.step();
      }
      story.turns(1_000);
      story.tell();
      story.checkRead();
    } catch (PowerLost e) {
      lost = true;
      // What was told before the loss counts, whoever heard of it.
      story.tell();
    }
    totals.compactions += story.compactions();
    totals.acknowledgements += story.acknowledgements;
    files.losePower(rest);
    story.reopen();
    // Life goes on, and a process that ends later loses nothing at all.
    for (int i = 0; i < 5; i++) {
      story.step();
    }
    story.turns(1_000);
    story.tell();
    story.checkRead();
    files.losePower(Rest.LOST);
    story.reopen();
    totals.stories++;
    return lost;
  }

  private static final class Totals {
    int stories;
    int acknowledgements;
    long compactions;
  }

  private record Script(
      long seed, int writes, int names, long mostBytes, int sizes, Consumer<TornFiles> spoiled) {}

  private static Totals everywhere(int from, Script script) {
    Totals totals = new Totals();
    for (int lossAt = from; ; lossAt++) {
      boolean lost = response(script, lossAt, Rest.KEPT, 0, totals);
      response(script, lossAt, Rest.LOST, 0, totals);
      for (int chance = 0; chance < TORN; chance++) {
        response(script, lossAt, Rest.TORN, chance, totals);
      }
      if (!lost) {
        return totals;
      }
    }
  }

  @Test
  void nothingAcknowledgedIsLostWhereverThePowerGoes() {
    for (long seed = 1; seed <= 4; seed++) {
      Totals totals = everywhere(1, new Script(seed, 60, 6, 200_000, 6, files -> {}));
      assertThat(totals.stories, greaterThan(600));
      assertThat(totals.acknowledgements, greaterThan(totals.stories));
      assertThat(totals.compactions, greaterThan((long) totals.stories));
    }
  }

  @Test
  void alsoWhileManySmallFilesAreGathered() {
    Totals totals = everywhere(250, new Script(77, 90, 60, 4 << 20, 3, files -> {}));
    assertThat(totals.stories, greaterThan(600));
    assertThat(totals.compactions, greaterThan(300L));
  }

  @Test
  void aSyncThatIsLeftOutIsNoticed() {
    assertThrows(AssertionError.class, () -> noticed(files -> files.folderSyncsLeftOut = true));
    assertThrows(AssertionError.class, () -> noticed(files -> files.fileSyncsLeftOut = true));
  }

  /** A torn file under its last name is told as such: that counts as noticed too. */
  private static void noticed(Consumer<TornFiles> spoiled) {
    try {
      everywhere(1, new Script(3, 20, 6, 200_000, 6, spoiled));
    } catch (ElmsailException e) {
      throw new AssertionError(e);
    }
  }

  @Test
  void whatADiskRefusesIsNeitherAcknowledgedNorInTheWay() {
    int failures = 0;
    int acknowledgements = 0;
    for (long seed = 1; seed <= 400; seed++) {
      TornFiles files = new TornFiles(seed);
      Story story = new Story(files, seed, 200_000, 6, 6);
      story.open();
      for (int instanceId = 0; instanceId < 4; instanceId++) {
        files.lossAt = files.operations + 20 + (int) (seed * 7 % 300);
        try {
          for (int i = 0; i < 60; i++) {
            files.refusing = i / 8 % 2 == 1 ? 0.15 : 0;
            story.step();
          }
        } catch (PowerLost e) {
          story.tell();
        }
        files.refusing = 0;
        if ((seed + instanceId) % 4 == 0) {
          files.lossAt = Integer.MAX_VALUE;
        } else {
          files.losePower(Rest.values()[(int) ((seed + instanceId) % 3)]);
        }
        story.reopen();
      }
      failures += story.failures;
      acknowledgements += story.acknowledgements;
    }
    assertThat(failures, greaterThan(1_000));
    assertThat(acknowledgements, greaterThan(5_000));
  }

  @Test
  void aSpoiledByteOrAMissingEndIsNeverUsed() {
    TornFiles files = new TornFiles(5);
    Story story = new Story(files, 5, 200_000, 3, 6);
    story.open();
    for (int i = 0; i < 12; i++) {
      story.step();
    }
    story.turns(1_000);
    story.tell();
    int tried = 0;
    for (Map.Entry<String, byte[]> file : files.contents().entrySet()) {
      byte[] whole = file.getValue();
      int stride = Math.max(1, whole.length / 300);
      for (int at = 0; at < whole.length; at += stride) {
        byte[] flipped = whole.clone();
        flipped[at] ^= 4;
        refused(files, file.getKey(), flipped);
        refused(files, file.getKey(), java.util.Arrays.copyOf(whole, at));
        tried += 2;
      }
      refused(files, file.getKey(), java.util.Arrays.copyOf(whole, whole.length + 1));
      files.put(file.getKey(), whole);
    }
    assertThat(tried, greaterThan(500));
    story.reopen();
  }

  private static void refused(TornFiles files, String name, byte[] bytes) {
    files.put(name, bytes);
    ElmsailException e =
        assertThrows(
            ElmsailException.class,
            () ->
                DirectoryRecordStore.byHand(
                    java.nio.file.Path.of("records"), 200_000, Runnable::run, files, 9));
    assertThat(e.code(), is(ErrorCode.STORAGE_FAILURE));
  }
}
