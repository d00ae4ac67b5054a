package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import elmsail.batch.messages.AbandonedJob;
import elmsail.batch.messages.BatchMessageTypes;
import elmsail.batch.messages.ContentDigest;
import elmsail.batch.messages.HeartbeatMessage;
import elmsail.batch.messages.JobBody;
import elmsail.batch.messages.JobDescription;
import elmsail.batch.messages.JobRecord;
import elmsail.batch.messages.TokenCount;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * The names and bytes of jobs at the stores and of messages about jobs: typed here from the layout,
 * not made by the code. Stores have them on disk, and gateways of other versions send them.
 */
class PinnedJobBytesTest {
  private static final String RECORD_OF_FORMAT_1 =
      "0103017209682e6578616d706c6505904ee0d40306626f64792d37010d31302e302e302e"
          + "313a3737323002d20902016180808080801002c3bc00020101024d00000100";
  private static final String RECORD_OF_FORMAT_2 =
      "0203017209682e6578616d706c6505904ee0d40306626f64792d37010d31302e302e302e"
          + "313a3737323002d20902016180808080801002c3bc00020101024d00000100010002";
  private static final String BODY =
      "010178042f702f31ac0703ab00ff020141036220630c436f6e74656e742d547970650a74"
          + "6578742f706c61696e";
  private static final String ABANDONED = "02026a31039423026a320100";
  private static final String HEARTBEAT = "0d31302e302e302e313a3737323002026a3103026a3201";
  private static final String ADD = "0172026a31ac07f9ffffffffffffffff01";
  private static final String COUNT = "01d08a90839edcd8fd5602ac07";

  private static byte[] bytes(String hex) {
    return HexFormat.of().parseHex(hex);
  }

  private static JobRecord job(List<JobRecord.FailureCount> failures) {
    return new JobRecord(
        3,
        new JobDescription(
            "r",
            "h.example",
            5,
            10_000,
            60_000,
            "body-7",
            List.of(new JobRecord.Item("a", 1L << 39), new JobRecord.Item("\u00fc", 0))),
        List.of(new JobRecord.Result(1, true, 2, 77), new JobRecord.Result(0, false, 1, 0)),
        true,
        "10.0.0.1:7720",
        2,
        1_234,
        failures);
  }

  @Test
  void aJobsRecordHasTheseBytes() {
    JobRecord record = job(List.of(new JobRecord.FailureCount(0, 2)));
    assertThat(record.packed(), equalTo(bytes(RECORD_OF_FORMAT_2)));
    assertThat(JobRecord.unpacked(bytes(RECORD_OF_FORMAT_2)), is(record));
  }

  /** The layout before failures were kept. */
  @Test
  void aRecordOfTheFirstFormatIsReadToo() {
    assertThat(JobRecord.unpacked(bytes(RECORD_OF_FORMAT_1)), is(job(List.of())));
  }

  @Test
  void aJobsBodyHasTheseBytesAndThisName() {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("A", "b c");
    headers.put("Content-Type", "text/plain");
    byte[] contents = {(byte) 0xab, 0, -1};
    byte[] packed = JobBody.packed(List.of(new BatchItem("x", "/p/1", headers, contents, 940)));
    assertThat(packed, equalTo(bytes(BODY)));
    assertThat(JobBody.nameOf(packed), is("body-3111b8e4b20b43fb"));
    BatchItem read = JobBody.unpacked(bytes(BODY)).get(0);
    assertThat(read.id(), is("x"));
    assertThat(read.lane(), is("/p/1"));
    assertThat(List.copyOf(read.envelope().keySet()), contains("A", "Content-Type"));
    assertThat(read.envelope(), is(headers));
    assertThat(read.contents(), equalTo(contents));
    assertThat(read.tokens(), is(940L));
  }

  @Test
  void jobsAndTextsAreKeptUnderTheseNames() {
    assertThat(JobRecord.keyOf("j1"), is("lot/j1"));
    assertThat(JobRecord.nameOf(7, 2), is("r-7-2"));
    assertThat(new JobRecord.Result(7, true, 2, 77).textName(), is("r-7-2"));
  }

  @Test
  void digestsAreAlikeInAllVersions() {
    assertThat(ContentDigest.of("j1"), is(0x56fb62e1e0640550L));
    assertThat(ContentDigest.of("\u00fc"), is(0x9a8fa3aaaa09fd21L));
  }

  @Test
  void messagesAreOfTheseKinds() {
    assertThat(
        List.of(
            BatchMessageTypes.HEARTBEAT,
            BatchMessageTypes.ABANDONED,
            BatchMessageTypes.WITHDRAW,
            BatchMessageTypes.ENDED,
            BatchMessageTypes.NOT_SEATED),
        contains("lots/beat", "lots/orphans", "lots/withdraw", "lots/ended", "lots/not-seated"));
    assertThat(
        List.of(HeartbeatMessage.UNKNOWN, HeartbeatMessage.YOURS, HeartbeatMessage.GONE),
        contains(0, 1, 2));
  }

  @Test
  void aHeartbeatHasTheseBytes() {
    HeartbeatMessage heartbeat =
        new HeartbeatMessage(
            "10.0.0.1:7720",
            List.of(new HeartbeatMessage.Run("j1", 3), new HeartbeatMessage.Run("j2", 1)));
    assertThat(heartbeat.packed(), equalTo(bytes(HEARTBEAT)));
    assertThat(HeartbeatMessage.unpacked(bytes(HEARTBEAT)), is(heartbeat));
  }

  @Test
  void abandonedJobsHaveTheseBytes() {
    List<AbandonedJob> abandoned =
        List.of(new AbandonedJob("j1", 3, 4_500), new AbandonedJob("j2", 1, 0));
    assertThat(AbandonedJob.packed(abandoned), equalTo(bytes(ABANDONED)));
    assertThat(AbandonedJob.unpacked(bytes(ABANDONED)), is(abandoned));
  }

  @Test
  void countsOfWaitingTokensHaveTheseBytes() {
    TokenCount.Add add = new TokenCount.Add("r", "j1", 940, -7);
    assertThat(add.packed(), equalTo(bytes(ADD)));
    assertThat(TokenCount.Add.unpacked(bytes(ADD)), is(add));
    TokenCount count = new TokenCount();
    count.put(ContentDigest.of("j1"), 2, 940);
    assertThat(count.packed(), equalTo(bytes(COUNT)));
    TokenCount read = new TokenCount();
    read.putAll(List.of(bytes(COUNT)));
    assertThat(read.without("j2"), is(940L));
    assertThat(read.accepted("j2"), is(940L));
  }
}
