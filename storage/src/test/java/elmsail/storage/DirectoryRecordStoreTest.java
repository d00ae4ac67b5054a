package elmsail.storage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import elmsail.storage.RecordStore.Change;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a store on the local file system, with its disk thread. */
class DirectoryRecordStoreTest {
  @TempDir Path temp;

  private static byte[] filled(int length, int with) {
    byte[] bytes = new byte[length];
    Arrays.fill(bytes, (byte) with);
    return bytes;
  }

  @Test
  void recordsAreReadAfterReopening() throws Exception {
    Path dir = temp.resolve("data/records");
    long instanceId;
    try (DirectoryRecordStore records = DirectoryRecordStore.open(dir, 64 << 20, Runnable::run)) {
      instanceId = records.instanceId();
      assertThat(records.isNew(), is(true));
      records.write(
          List.of(new Change("a/1", filled(10, 1)), new Change("a/2", filled(300_000, 2))));
      records.write(List.of(new Change("b", new byte[0])));
      records.write(List.of(new Change("a/1", null))).get(10, TimeUnit.SECONDS);
      assertThat(records.read("a/2"), is(filled(300_000, 2)));
    }
    try (DirectoryRecordStore records = DirectoryRecordStore.open(dir, 64 << 20, Runnable::run)) {
      assertThat(records.isNew(), is(false));
      assertThat(records.instanceId(), is(instanceId));
      assertThat(records.read("a/1"), nullValue());
      assertThat(records.read("a/2"), is(filled(300_000, 2)));
      assertThat(records.read("b"), is(new byte[0]));
      assertThat(records.names("a/"), contains("a/2"));
      assertThat(records.page(null, 1 << 20).keySet(), contains("a/2", "b"));
      assertThat(records.page("a/2", 1 << 20).keySet(), contains("b"));
      assertThat(records.page(null, 1).keySet(), contains("a/2"));
    }
  }
}
