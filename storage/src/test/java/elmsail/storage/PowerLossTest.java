package elmsail.storage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.storage.PowerLossFileSystem.PowerLost;
import elmsail.storage.PowerLossFileSystem.UnsyncedFate;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Simulates a power loss at each operation; unsynced content is then kept, lost or torn. */
class PowerLossTest {
  private static final int TORN_VARIANTS = 4;

  /** Writes, simulates a power loss and reopens; returns whether it interrupted the writes. */
  private static boolean writeUntilPowerLoss(
      Script script, int powerLossAt, UnsyncedFate unsynced, long variant, Totals totals) {
    PowerLossFileSystem fileSystem = new PowerLossFileSystem(script.seed * 31 + variant);
    script.defect.accept(fileSystem);
    fileSystem.powerLossAt = powerLossAt;
    RandomWrites writes =
        new RandomWrites(fileSystem, script.seed, script.maxBytes, script.names, script.sizes);
    boolean lost = false;
    try {
      writes.open();
      for (int i = 0; i < script.writes; i++) {
        writes.step();
      }
      writes.runWorker(1_000);
      writes.runCompletions();
      writes.checkReads();
    } catch (PowerLost e) {
      lost = true;
      // Completions queued before the power loss count as acknowledgements, even if not run yet.
      writes.runCompletions();
    }
    totals.compactions += writes.compactions();
    totals.acknowledgements += writes.acknowledgements;
    fileSystem.losePower(unsynced);
    writes.reopen();
    // The reopened store accepts writes, and a second power loss loses none of them.
    for (int i = 0; i < 5; i++) {
      writes.step();
    }
    writes.runWorker(1_000);
    writes.runCompletions();
    writes.checkReads();
    fileSystem.losePower(UnsyncedFate.LOST);
    writes.reopen();
    totals.runs++;
    return lost;
  }

  private static final class Totals {
    int runs;
    int acknowledgements;
    long compactions;
  }

  private record Script(
      long seed,
      int writes,
      int names,
      long maxBytes,
      int sizes,
      Consumer<PowerLossFileSystem> defect) {}

  private static Totals losePowerAtEachOperation(int from, Script script) {
    Totals totals = new Totals();
    for (int powerLossAt = from; ; powerLossAt++) {
      boolean lost = writeUntilPowerLoss(script, powerLossAt, UnsyncedFate.KEPT, 0, totals);
      writeUntilPowerLoss(script, powerLossAt, UnsyncedFate.LOST, 0, totals);
      for (int variant = 0; variant < TORN_VARIANTS; variant++) {
        writeUntilPowerLoss(script, powerLossAt, UnsyncedFate.TORN, variant, totals);
      }
      if (!lost) {
        return totals;
      }
    }
  }

  @Test
  void powerLossAtAnyOperationLosesNothingAcknowledged() {
    for (long seed = 1; seed <= 4; seed++) {
      Totals totals =
          losePowerAtEachOperation(1, new Script(seed, 60, 6, 200_000, 6, fileSystem -> {}));
      assertThat(totals.runs, greaterThan(600));
      assertThat(totals.acknowledgements, greaterThan(totals.runs));
      assertThat(totals.compactions, greaterThan((long) totals.runs));
    }
  }

  @Test
  void powerLossDuringMergeOfSmallFilesLosesNothingAcknowledged() {
    Totals totals =
        losePowerAtEachOperation(250, new Script(77, 90, 60, 4 << 20, 3, fileSystem -> {}));
    assertThat(totals.runs, greaterThan(600));
    assertThat(totals.compactions, greaterThan(300L));
  }

  @Test
  void skippedSyncIsDetected() {
    assertThrows(
        AssertionError.class,
        () -> assertDetected(fileSystem -> fileSystem.skipDirectorySyncs = true));
    assertThrows(
        AssertionError.class, () -> assertDetected(fileSystem -> fileSystem.skipFileSyncs = true));
  }

  /** A torn file under its final name is reported as corrupt, which counts as detected too. */
  private static void assertDetected(Consumer<PowerLossFileSystem> defect) {
    try {
      losePowerAtEachOperation(1, new Script(3, 20, 6, 200_000, 6, defect));
    } catch (ElmsailException e) {
      throw new AssertionError(e);
    }
  }

  @Test
  void failedWritesAreNotAcknowledgedAndDoNotBlockLaterWrites() {
    int failures = 0;
    int acknowledgements = 0;
    for (long seed = 1; seed <= 400; seed++) {
      PowerLossFileSystem fileSystem = new PowerLossFileSystem(seed);
      RandomWrites writes = new RandomWrites(fileSystem, seed, 200_000, 6, 6);
      writes.open();
      for (int run = 0; run < 4; run++) {
        fileSystem.powerLossAt = fileSystem.operations + 20 + (int) (seed * 7 % 300);
        try {
          for (int i = 0; i < 60; i++) {
            fileSystem.failureRate = i / 8 % 2 == 1 ? 0.15 : 0;
            writes.step();
          }
        } catch (PowerLost e) {
          writes.runCompletions();
        }
        fileSystem.failureRate = 0;
        if ((seed + run) % 4 == 0) {
          fileSystem.powerLossAt = Integer.MAX_VALUE;
        } else {
          fileSystem.losePower(UnsyncedFate.values()[(int) ((seed + run) % 3)]);
        }
        writes.reopen();
      }
      failures += writes.failures;
      acknowledgements += writes.acknowledgements;
    }
    assertThat(failures, greaterThan(1_000));
    assertThat(acknowledgements, greaterThan(5_000));
  }

  @Test
  void corruptOrTruncatedFileIsRejected() {
    PowerLossFileSystem fileSystem = new PowerLossFileSystem(5);
    RandomWrites writes = new RandomWrites(fileSystem, 5, 200_000, 3, 6);
    writes.open();
    for (int i = 0; i < 12; i++) {
      writes.step();
    }
    writes.runWorker(1_000);
    writes.runCompletions();
    int tried = 0;
    for (Map.Entry<String, byte[]> file : fileSystem.contents().entrySet()) {
      byte[] intact = file.getValue();
      int stride = Math.max(1, intact.length / 300);
      for (int at = 0; at < intact.length; at += stride) {
        byte[] flipped = intact.clone();
        flipped[at] ^= 4;
        assertRejected(fileSystem, file.getKey(), flipped);
        assertRejected(fileSystem, file.getKey(), java.util.Arrays.copyOf(intact, at));
        tried += 2;
      }
      assertRejected(fileSystem, file.getKey(), java.util.Arrays.copyOf(intact, intact.length + 1));
      fileSystem.put(file.getKey(), intact);
    }
    assertThat(tried, greaterThan(500));
    writes.reopen();
  }

  private static void assertRejected(PowerLossFileSystem fileSystem, String name, byte[] bytes) {
    fileSystem.put(name, bytes);
    ElmsailException e =
        assertThrows(
            ElmsailException.class,
            () ->
                DirectoryRecordStore.openWithoutThread(
                    java.nio.file.Path.of("records"), 200_000, Runnable::run, fileSystem, 9));
    assertThat(e.code(), is(ErrorCode.STORAGE_FAILURE));
  }
}
