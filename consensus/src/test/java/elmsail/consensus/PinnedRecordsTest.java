package elmsail.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The names and bytes of a replica's records on disk, which later versions must be able to read.
 * The expected bytes are written out from the documented layout, not produced by the code under
 * test.
 */
class PinnedRecordsTest {
  private static final String SET = "shelf";

  private static final String TWO_VOTERS =
      "0002"
          + "000d31302e302e302e313a3737323000026e31112233445566778800000003"
          + "000d31302e302e302e323a3737323000026e32000000000000000600000001";
  private static final String THEIR_PREDECESSORS =
      "000d31302e302e302e393a37373230fffffffffffffffb00000002" + "0000000000000000000000000000";

  private static final String PROMISED = "0000000000000007fffffffffffffffe";
  private static final String ACCEPTED = "000000000000000500000000000003e9";
  private static final String NO_BALLOT = "00000000000000000000000000000000";
  private static final byte[] VALUE = {10, 0, -1};

  private static byte[] bytes(String hex) {
    return HexFormat.of().parseHex(hex);
  }

  private static VoterSet twoVoters() {
    VoterSet voterSet = new VoterSet();
    Voter first = new Voter();
    first.address = "10.0.0.1:7720";
    first.machine = "n1";
    first.instanceId = 0x1122334455667788L;
    first.epoch = 3;
    first.previousAddress = "10.0.0.9:7720";
    first.previousInstanceId = -5;
    first.previousEpoch = 2;
    first.confirmed = true;
    Voter second = new Voter();
    second.address = "10.0.0.2:7720";
    second.machine = "n2";
    second.instanceId = 6;
    second.epoch = 1;
    voterSet.voters.addAll(List.of(first, second));
    return voterSet;
  }

  @Test
  void recordsHaveTheseNames() {
    RecordNames names = new RecordNames(SET);
    assertThat(
        List.of(
            names.votingRecord(),
            names.voterSetRecord(),
            names.spareRecord(),
            names.keyPrefix(),
            names.blobPrefix(),
            names.keyRecord("timetable"),
            names.keyRecord("lot/50%"),
            names.blobPrefix("lot/50%"),
            names.blobRecord("lot/50%", "r-0-1")),
        contains(
            "shelf/seated",
            "shelf/seating",
            "shelf/spare",
            "shelf/k/",
            "shelf/b/",
            "shelf/k/timetable",
            "shelf/k/lot%2F50%25",
            "shelf/b/lot%2F50%25/",
            "shelf/b/lot%2F50%25/r-0-1"));
    assertThat(names.keyOf("shelf/k/lot%2F50%25"), is("lot/50%"));
    assertThat(names.keyOfBlob("shelf/b/lot%2F50%25/r-0-1"), is("lot/50%"));
    assertThat(names.nameOfBlob("shelf/b/lot%2F50%25/r-0-1"), is("r-0-1"));
  }

  @Test
  void epochRecordIsFourBytes() {
    assertThat(RecordNames.epochToBytes(0x01020304), equalTo(bytes("01020304")));
    assertThat(RecordNames.epochFromBytes(bytes("01020304")), is(0x01020304));
    assertThat(RecordNames.epochFromBytes(null), is(0));
  }

  /** The record doesn't store whether a voter is confirmed. */
  @Test
  void voterSetRecordHoldsTheVotersAndThenTheirPredecessors() {
    assertThat(VoterSetCodec.encode(twoVoters()), equalTo(bytes(TWO_VOTERS + THEIR_PREDECESSORS)));
    VoterSet read = VoterSetCodec.decode(bytes(TWO_VOTERS + THEIR_PREDECESSORS));
    assertThat(VoterSets.areEqual(read, twoVoters()), is(true));
    assertThat(read.voters.get(0).address, is("10.0.0.1:7720"));
    assertThat(read.voters.get(0).machine, is("n1"));
    assertThat(read.voters.get(0).instanceId, is(0x1122334455667788L));
    assertThat(read.voters.get(0).epoch, is(3));
    assertThat(read.voters.get(0).previousAddress, is("10.0.0.9:7720"));
    assertThat(read.voters.get(0).previousInstanceId, is(-5L));
    assertThat(read.voters.get(0).previousEpoch, is(2));
    assertThat(read.voters.get(0).confirmed, is(false));
    assertThat(read.voters.get(1).machine, is("n2"));
  }

  /** Records of earlier versions have no predecessors. */
  @Test
  void voterSetRecordWithoutPredecessorsIsDecoded() {
    VoterSet read = VoterSetCodec.decode(bytes(TWO_VOTERS));
    assertThat(VoterSets.areEqual(read, twoVoters()), is(true));
    assertThat(read.voters.get(0).previousAddress, is(""));
    assertThat(read.voters.get(0).previousInstanceId, is(0L));
    assertThat(read.voters.get(0).previousEpoch, is(0));
  }

  @Test
  void keyRecordHoldsTwoBallotsFlagsAndTheValue() {
    assertState(Ballots.of(0, 0), false, null, NO_BALLOT + "00");
    assertState(Ballots.of(5, 1_001), false, VALUE, ACCEPTED + "01" + "0a00ff");
    assertState(Ballots.of(5, 1_001), true, VALUE, ACCEPTED + "03" + "0a00ff");
    assertState(Ballots.of(5, 1_001), false, new byte[0], ACCEPTED + "01");
  }

  private static void assertState(
      Ballot accepted, boolean fromStateTransfer, byte[] value, String rest) {
    byte[] pinned = bytes(PROMISED + rest);
    assertThat(
        new AcceptorState(Ballots.of(7, -2), accepted, fromStateTransfer, value).toBytes(),
        equalTo(pinned));
    AcceptorState read = AcceptorState.fromBytes(pinned);
    assertThat(Ballots.areEqual(read.promised(), Ballots.of(7, -2)), is(true));
    assertThat(Ballots.areEqual(read.accepted(), accepted), is(true));
    assertThat(read.fromStateTransfer(), is(fromStateTransfer));
    assertThat(read.value(), value == null ? is(nullValue()) : equalTo(value));
  }

  /** The records of an initial voter after one change with a blob. */
  @Test
  void bootstrappedReplicaStoresTheseRecords() {
    SimCluster cluster = new SimCluster().bootstrapped();
    Blob blob = new Blob();
    blob.name = "body";
    blob.bytes = "blob".getBytes(StandardCharsets.US_ASCII);
    cluster.await(
        cluster
            .client(cluster.initialVoters)
            .change(
                "a/b",
                observed -> new Register.ProposedValue(VALUE, List.of()),
                List.of(blob),
                null,
                1_000));
    cluster.timers.advance(100);
    List<String> names = new ArrayList<>();
    cluster.records[0].names("").forEach(names::add);
    assertThat(names, contains("set/b/a%2Fb/body", "set/k/a%2Fb", "set/seated", "set/seating"));
    assertThat(cluster.records[0].read("set/b/a%2Fb/body"), equalTo(blob.bytes));
    assertThat(cluster.records[0].read("set/seated"), equalTo(bytes("00000001")));
    assertThat(
        cluster.records[0].read("set/seating"),
        equalTo(VoterSetCodec.encode(cluster.initialVoters)));
    assertThat(
        AcceptorState.fromBytes(cluster.records[0].read("set/k/a%2Fb")).value(), equalTo(VALUE));
  }
}
