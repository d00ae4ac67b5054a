package elmsail.storage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import elmsail.runtime.Counters;
import elmsail.storage.RecordStore.Change;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class StorageCountersTest {
  @TempDir Path temp;

  @Test
  void countsBatchesBytesAndSyncs() throws Exception {
    Counters counters = new Counters();
    try (DirectoryRecordStore records = DirectoryRecordStore.open(temp, 64 << 20, Runnable::run)) {
      records.setCounters(new StorageCounters(counters));
      records.write(List.of(new Change("a/1", new byte[5_000]))).get(10, TimeUnit.SECONDS);
      records.write(List.of(new Change("a/2", new byte[1]))).get(10, TimeUnit.SECONDS);
      assertThat(records.count("a/"), is(2));
      assertThat(records.count("b/"), is(0));
    }
    assertThat(counters.counter("storage_syncs").value(), is(2L));
    assertThat(counters.histogram("storage_sync_ms").count(), is(2L));
    assertThat(counters.counter("storage_bytes_written").value(), greaterThan(5_000L));
    assertThat(counters.counter("storage_write_failures").value(), is(0L));
  }
}
