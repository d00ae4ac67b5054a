package elmsail.storage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks that the current code reads files of earlier versions and writes the same bytes. */
class PinnedDirectoryTest {
  @TempDir Path temp;

  private static Path pinned() throws URISyntaxException {
    return Path.of(PinnedDirectoryTest.class.getResource("pinned-directory").toURI());
  }

  @Test
  void versionFileNamesAreUnchanged() throws Exception {
    assertThat(
        PinnedDirectory.files(pinned()).keySet(),
        contains(
            "v-0000000000000001",
            "v-0000000000000002",
            "v-0000000000000003",
            "v-0000000000000004",
            "v-0000000000000005",
            "v-0000000000000007"));
  }

  @Test
  void pinnedDirectoryIsReadAsItWasWritten() throws Exception {
    for (Map.Entry<String, byte[]> file : PinnedDirectory.files(pinned()).entrySet()) {
      java.nio.file.Files.write(temp.resolve(file.getKey()), file.getValue());
    }
    try (DirectoryRecordStore store = PinnedDirectory.open(temp)) {
      assertThat(store.isNew(), is(false));
      assertThat(store.instanceId(), is(PinnedDirectory.INSTANCE_ID));
      List<String> names = new ArrayList<>();
      store.names("").forEach(names::add);
      assertThat(names, equalTo(List.copyOf(PinnedDirectory.records().keySet())));
      for (Map.Entry<String, byte[]> record : PinnedDirectory.records().entrySet()) {
        assertThat(record.getKey(), store.read(record.getKey()), equalTo(record.getValue()));
      }
      assertThat(store.read("gone"), is(nullValue()));
      assertThat(store.nextSeq(), is(10L));
    }
  }

  @Test
  void sameChangesProduceTheSameFiles() throws Exception {
    PinnedDirectory.write(temp);
    Map<String, byte[]> expected = PinnedDirectory.files(pinned());
    Map<String, byte[]> written = PinnedDirectory.files(temp);
    assertThat(written.keySet(), equalTo(expected.keySet()));
    for (Map.Entry<String, byte[]> file : expected.entrySet()) {
      assertThat(file.getKey(), written.get(file.getKey()), equalTo(file.getValue()));
    }
  }

  @Test
  void newestFileListsTheFailedVersionAsVoid() throws IOException, URISyntaxException {
    VersionReader reader =
        new VersionReader(new LocalFileSystem(), pinned().resolve("v-0000000000000007"));
    assertThat(reader.voids, equalTo(new long[] {6}));
  }
}
