package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import elmsail.batch.messages.JobBodyCodec;
import elmsail.batch.messages.JobRecord;
import elmsail.consensus.RestoredReplica;
import elmsail.consensus.VoterSets;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.storage.DirectoryRecordStore;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Data directories of earlier versions are read, and the current version writes the same bytes.
 * Guards against accidental changes of the formats on disk.
 */
class PinnedDataDirectoriesTest {
  /** The file that holds only the instance id, which is drawn at random. */
  private static final String INSTANCE_ID_FILE = "v-0000000000000001";

  private static final int STATE_HEADER_BYTES = 4 * Long.BYTES + 1;

  /**
   * Format, version, change count and first base version; per change a version step and a digest;
   * then the configuration.
   */
  private static final String CONFIG_VALUE =
      "020000000000000190000000020000000000000000"
          + "0326e1364e7e183813"
          + "8d0370c09982a360fba5"
          + "7b2265646974696f6e223a3430307d";

  @TempDir Path temp;

  private static Map<String, byte[]> files(Path folder) throws IOException {
    Map<String, byte[]> files = new TreeMap<>();
    try (DirectoryStream<Path> found = Files.newDirectoryStream(folder)) {
      for (Path file : found) {
        files.put(file.getFileName().toString(), Files.readAllBytes(file));
      }
    }
    return files;
  }

  private static Map<String, byte[]> pinned(String directory) throws Exception {
    return files(
        Path.of(PinnedDataDirectoriesTest.class.getResource("pinned-data/" + directory).toURI()));
  }

  private DirectoryRecordStore openPinned(String directory) throws Exception {
    for (Map.Entry<String, byte[]> file : pinned(directory).entrySet()) {
      Files.write(temp.resolve(file.getKey()), file.getValue());
    }
    return PinnedDataDirectories.open(temp);
  }

  private static List<String> names(DirectoryRecordStore records) {
    List<String> names = new ArrayList<>();
    records.names("").forEach(names::add);
    return names;
  }

  /** The value in a key's record, which follows the ballots and flags. */
  private static byte[] value(DirectoryRecordStore records, String name) {
    byte[] record = records.read(name);
    return Arrays.copyOfRange(record, STATE_HEADER_BYTES, record.length);
  }

  private void assertWrittenAsPinned(String directory, Consumer<Path> writer) throws Exception {
    Map<String, byte[]> expected = pinned(directory);
    Files.write(temp.resolve(INSTANCE_ID_FILE), expected.get(INSTANCE_ID_FILE));
    writer.accept(temp);
    Map<String, byte[]> written = files(temp);
    assertThat(written.keySet(), equalTo(expected.keySet()));
    for (Map.Entry<String, byte[]> file : expected.entrySet()) {
      assertThat(file.getKey(), written.get(file.getKey()), equalTo(file.getValue()));
    }
  }

  @Test
  void storeDirectoryIsWrittenAsPinned() throws Exception {
    assertWrittenAsPinned(PinnedDataDirectories.STORE, PinnedDataDirectories::writeStore);
  }

  @Test
  void joiningStoreDirectoryIsWrittenAsPinned() throws Exception {
    assertWrittenAsPinned(
        PinnedDataDirectories.JOINING_STORE, PinnedDataDirectories::writeJoiningStore);
  }

  @Test
  void controlPlaneDirectoryIsWrittenAsPinned() throws Exception {
    assertWrittenAsPinned(
        PinnedDataDirectories.CONTROL_PLANE, PinnedDataDirectories::writeControlPlane);
  }

  @Test
  void pinnedStoreDirectoryIsRead() throws Exception {
    try (DirectoryRecordStore records = openPinned(PinnedDataDirectories.STORE)) {
      assertThat(
          names(records),
          contains(
              "shelf/b/lot%2Fended%2F50%25/BODY".replace("BODY", bodyName()),
              "shelf/b/lot%2Fopen-job/BODY".replace("BODY", bodyName()),
              "shelf/b/lot%2Fopen-job/r-1-2",
              "shelf/k/lot%2Fcopied-job",
              "shelf/k/lot%2Fended%2F50%25",
              "shelf/k/lot%2Fold-job",
              "shelf/k/lot%2Fopen-job",
              "shelf/k/lot%2Frefused-job",
              "shelf/seated",
              "shelf/seating"));
      assertThat(
          JobRecord.decode(value(records, "shelf/k/lot%2Fopen-job")),
          is(PinnedDataDirectories.openJob()));
      for (String ended : List.of("ended%2F50%25", "old-job", "copied-job")) {
        assertThat(
            JobRecord.decode(value(records, "shelf/k/lot%2F" + ended)),
            is(PinnedDataDirectories.endedJob()));
      }
      assertThat(value(records, "shelf/k/lot%2Frefused-job").length, is(0));
      assertThat(
          new String(records.read("shelf/b/lot%2Fopen-job/r-1-2"), StandardCharsets.UTF_8),
          is(PinnedDataDirectories.TEXT));
      byte[] body = records.read("shelf/b/lot%2Fopen-job/" + bodyName());
      assertThat(body, equalTo(PinnedDataDirectories.body()));
      assertThat(JobBodyCodec.decode(body).get(2).path(), is("/p/3"));
      RestoredReplica store = RestoredReplica.of(records).get(0);
      assertThat(store.set(), is("shelf"));
      assertVotes(store, records.instanceId());
      assertThat(
          store.keys().stream().map(PinnedDataDirectoriesTest::describe).toList(),
          contains(
              "lot/copied-job 6 5 copied blobs=0",
              "lot/ended/50% 3 2 voted blobs=1",
              "lot/old-job 4 3 voted blobs=0",
              "lot/open-job 2 1 voted blobs=2",
              "lot/refused-job 4 0 voted blobs=0"));
    }
  }

  private static String describe(RestoredReplica.StoredKey key) {
    return "%s %d %d %s blobs=%d"
        .formatted(
            key.name(),
            key.promised().round,
            key.accepted().round,
            key.fromStateTransfer() ? "copied" : "voted",
            key.blobs());
  }

  private static String bodyName() {
    return JobBodyCodec.blobName(PinnedDataDirectories.body());
  }

  private static void assertVotes(RestoredReplica replica, long instanceId) {
    VoterSet expected = PinnedDataDirectories.voterSet(instanceId);
    assertThat(VoterSets.areEqual(replica.voterSet(), expected), is(true));
    assertThat(replica.ownSlot(), is(0));
    assertThat(replica.caughtUpEpoch(), is(1));
    assertThat(replica.voting(), is(true));
  }

  @Test
  void pinnedJoiningStoreDirectoryIsRead() throws Exception {
    try (DirectoryRecordStore records = openPinned(PinnedDataDirectories.JOINING_STORE)) {
      assertThat(names(records), contains("shelf/seating", "shelf/spare"));
      RestoredReplica store = RestoredReplica.of(records).get(0);
      assertThat(store.ownSlot(), is(0));
      assertThat(store.caughtUpEpoch(), is(0));
      assertThat(store.voting(), is(false));
      Voter own = store.voterSet().voters.get(0);
      assertThat(own.address, is(PinnedDataDirectories.OWN_ADDRESS));
      assertThat(own.epoch, is(2));
      assertThat(own.previousAddress, is("10.0.0.4:7720"));
      assertThat(own.previousInstanceId, is(1L));
      assertThat(own.previousEpoch, is(1));
    }
  }

  @Test
  void pinnedControlPlaneDirectoryIsRead() throws Exception {
    try (DirectoryRecordStore records = openPinned(PinnedDataDirectories.CONTROL_PLANE)) {
      assertThat(
          names(records),
          contains(
              "head-founding",
              "head/k/duty",
              "head/k/retire",
              "head/k/shelf",
              "head/k/timetable",
              "head/k/timetable-of-old",
              "head/seated",
              "head/seating",
              "notary/born"));
      ConfigHistory config = ConfigHistory.decode(value(records, "head/k/timetable"));
      assertThat(config.version(), is(400L));
      assertThat(config.changeCount(), is(2));
      assertThat(utf8(config.configBytes()), is(PinnedDataDirectories.CONFIGS.get(1)));
      byte[] first = PinnedDataDirectories.CONFIGS.get(0).getBytes(StandardCharsets.UTF_8);
      assertThat(
          config.statusOf(0, ConfigHistory.replacementDigest(0, first)),
          is(ConfigChangeStatus.COMMITTED));
      assertThat(
          config.statusOf(3, ConfigHistory.amendmentDigest(3, config.configBytes())),
          is(ConfigChangeStatus.COMMITTED));
      assertThat(
          config.statusOf(3, ConfigHistory.replacementDigest(3, config.configBytes())),
          is(ConfigChangeStatus.SUPERSEDED));
      ConfigHistory old = ConfigHistory.decode(value(records, "head/k/timetable-of-old"));
      assertThat(old.version(), is(7L));
      assertThat(utf8(old.configBytes()), is("{}"));
      assertThat(
          DecommissionList.decode(value(records, "head/k/retire")),
          equalTo(java.util.Set.of("n2", "n5")));
      VoterSet voters = PinnedDataDirectories.voterSet(records.instanceId());
      assertThat(
          VoterSets.areEqual(VoterSetValue.decode(value(records, "head/k/shelf")), voters),
          is(true));
      assertThat(value(records, "head/k/duty"), equalTo(PinnedDataDirectories.leaseTerm()));
      BootstrapAcceptor acceptor = BootstrapAcceptor.decode(records.read("head-founding"));
      assertThat(acceptor.prepare(1).promisedBallot, is(9L));
      assertThat(acceptor.prepare(1).acceptedBallot, is(5L));
      assertThat(VoterSets.areEqual(acceptor.prepare(1).acceptedVoterSet, voters), is(true));
      assertThat(records.read("notary/born"), equalTo(new byte[] {1}));
      RestoredReplica head =
          RestoredReplica.of(records).stream()
              .filter(replica -> replica.set().equals("head"))
              .findAny()
              .orElseThrow();
      assertVotes(head, records.instanceId());
    }
  }

  private static String utf8(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  @Test
  void valuesAreEncodedAsPinned() {
    HexFormat hex = HexFormat.of();
    assertThat(hex.formatHex(PinnedDataDirectories.config().encode()), is(CONFIG_VALUE));
    assertThat(
        hex.formatHex(PinnedDataDirectories.decommissioned()), is("0000000200026e3200026e35"));
    VoterSet voters = new VoterSet();
    voters.voters.add(VoterSetValue.voter("10.0.0.1:7720", "n1", -2, 3));
    String voterSetValue = "00000001000d31302e302e302e313a3737323000026e31fffffffffffffffe00000003";
    assertThat(hex.formatHex(VoterSetValue.encode(voters)), is(voterSetValue));
    BootstrapAcceptor acceptor = new BootstrapAcceptor();
    acceptor.accept(5, voters);
    acceptor.prepare(9);
    assertThat(
        hex.formatHex(acceptor.encode()), is("00000000000000090000000000000005" + voterSetValue));
    assertThat(
        hex.formatHex(new StoreHeartbeats(true, Map.of("n1", 1_500L)).encode()),
        is("010000000100026e3100000000000005dc"));
  }
}
