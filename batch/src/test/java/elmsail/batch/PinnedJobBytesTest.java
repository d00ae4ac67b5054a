package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import elmsail.batch.messages.AbandonedJob;
import elmsail.batch.messages.BatchMessageTypes;
import elmsail.batch.messages.ContentDigest;
import elmsail.batch.messages.HeartbeatMessage;
import elmsail.batch.messages.JobBodyCodec;
import elmsail.batch.messages.JobDescription;
import elmsail.batch.messages.JobRecord;
import elmsail.batch.messages.QuotaKey;
import elmsail.batch.messages.WaitingTokens;
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
  private static final String RECORD_OF_FORMAT_3 =
      "0303017209682e6578616d706c6505904ee0d40306626f64792d37010d31302e302e302e"
          + "313a3737323002d20902016180808080801002c3bc00020101024d00000100010002"
          + "036bc3bc";
  private static final String BODY =
      "010178042f702f31ac0703ab00ff020141036220630c436f6e74656e742d547970650a74"
          + "6578742f706c61696e";
  private static final String ABANDONED = "02026a31039423026a320100";
  private static final String HEARTBEAT = "0d31302e302e302e313a3737323002026a3103026a3201";
  private static final String RESERVATION = "0172026a31ac07f9ffffffffffffffff01";
  private static final String RESERVATION_WITH_TENANT = RESERVATION + "036bc3bc";
  private static final String WAITING_TOKENS = "01d08a90839edcd8fd5602ac07";

  private static byte[] bytes(String hex) {
    return HexFormat.of().parseHex(hex);
  }

  private static JobRecord job(List<JobRecord.FailedAttempts> failures) {
    return job(failures, TenantName.NONE);
  }

  private static JobRecord job(List<JobRecord.FailedAttempts> failures, TenantName tenant) {
    return new JobRecord(
        3,
        new JobDescription(
            "r",
            "h.example",
            5,
            10_000,
            60_000,
            "body-7",
            List.of(new JobRecord.Item("a", 1L << 39), new JobRecord.Item("\u00fc", 0)),
            tenant),
        List.of(new JobRecord.Result(1, true, 2, 77), new JobRecord.Result(0, false, 1, 0)),
        true,
        "10.0.0.1:7720",
        2,
        1_234,
        failures);
  }

  @Test
  void encodingOfRecordWithoutTenantIsPinned() {
    JobRecord record = job(List.of(new JobRecord.FailedAttempts(0, 2)));
    assertThat(record.encode(), equalTo(bytes(RECORD_OF_FORMAT_2)));
    assertThat(JobRecord.decode(bytes(RECORD_OF_FORMAT_2)), is(record));
  }

  /** Stores of the former version do not know this format, and reject it. */
  @Test
  void encodingOfRecordWithTenantIsPinned() {
    JobRecord record = job(List.of(new JobRecord.FailedAttempts(0, 2)), new TenantName("k\u00fc"));
    assertThat(record.encode(), equalTo(bytes(RECORD_OF_FORMAT_3)));
    assertThat(JobRecord.decode(bytes(RECORD_OF_FORMAT_3)), is(record));
    assertThat(
        record.rewritten().withRunner("d", 1).withCancellation().tenant(), is(record.tenant()));
  }

  @Test
  void recordsOfEarlierFormatsHaveNoTenant() {
    for (String encoded : List.of(RECORD_OF_FORMAT_1, RECORD_OF_FORMAT_2)) {
      assertThat(JobRecord.decode(bytes(encoded)).tenant(), is(TenantName.NONE));
    }
  }

  /** The layout before failures were kept. */
  @Test
  void formatOneRecordIsDecoded() {
    assertThat(JobRecord.decode(bytes(RECORD_OF_FORMAT_1)), is(job(List.of())));
  }

  @Test
  void encodingAndBlobNameOfJobBodyArePinned() {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("A", "b c");
    headers.put("Content-Type", "text/plain");
    byte[] contents = {(byte) 0xab, 0, -1};
    byte[] encoded =
        JobBodyCodec.encode(List.of(new BatchItem("x", "/p/1", headers, contents, 940)));
    assertThat(encoded, equalTo(bytes(BODY)));
    assertThat(JobBodyCodec.blobName(encoded), is("body-3111b8e4b20b43fb"));
    BatchItem decoded = JobBodyCodec.decode(bytes(BODY)).get(0);
    assertThat(decoded.id(), is("x"));
    assertThat(decoded.path(), is("/p/1"));
    assertThat(List.copyOf(decoded.headers().keySet()), contains("A", "Content-Type"));
    assertThat(decoded.headers(), is(headers));
    assertThat(decoded.body(), equalTo(contents));
    assertThat(decoded.tokens(), is(940L));
  }

  @Test
  void registerKeyAndTextBlobNameArePinned() {
    assertThat(JobRecord.registerKey("j1"), is("lot/j1"));
    assertThat(JobRecord.textBlobNameOf(7, 2), is("r-7-2"));
    assertThat(new JobRecord.Result(7, true, 2, 77).textBlobName(), is("r-7-2"));
  }

  @Test
  void digestsArePinned() {
    assertThat(ContentDigest.of("j1"), is(0x56fb62e1e0640550L));
    assertThat(ContentDigest.of("\u00fc"), is(0x9a8fa3aaaa09fd21L));
  }

  @Test
  void messageKindsAndLeaseStatusesArePinned() {
    assertThat(
        List.of(
            BatchMessageTypes.HEARTBEAT,
            BatchMessageTypes.ABANDONED,
            BatchMessageTypes.WITHDRAW,
            BatchMessageTypes.CANCELLED,
            BatchMessageTypes.NOT_A_VOTER),
        contains("lots/beat", "lots/orphans", "lots/withdraw", "lots/ended", "lots/not-seated"));
    assertThat(
        List.of(HeartbeatMessage.UNKNOWN, HeartbeatMessage.LEASE_HELD, HeartbeatMessage.LEASE_LOST),
        contains(0, 1, 2));
  }

  @Test
  void heartbeatEncodingIsPinned() {
    HeartbeatMessage heartbeat =
        new HeartbeatMessage(
            "10.0.0.1:7720",
            List.of(
                new HeartbeatMessage.JobLease("j1", 3), new HeartbeatMessage.JobLease("j2", 1)));
    assertThat(heartbeat.encode(), equalTo(bytes(HEARTBEAT)));
    assertThat(HeartbeatMessage.decode(bytes(HEARTBEAT)), is(heartbeat));
  }

  @Test
  void encodingOfAbandonedJobsIsPinned() {
    List<AbandonedJob> abandoned =
        List.of(new AbandonedJob("j1", 3, 4_500), new AbandonedJob("j2", 1, 0));
    assertThat(AbandonedJob.encode(abandoned), equalTo(bytes(ABANDONED)));
    assertThat(AbandonedJob.decode(bytes(ABANDONED)), is(abandoned));
  }

  /** A process of the former version reads the first four fields and ignores the tenant. */
  @Test
  void encodingOfReservationWithTenantIsPinned() {
    QuotaKey key = new QuotaKey("r", new TenantName("k\u00fc"));
    WaitingTokens.Reservation reservation = new WaitingTokens.Reservation(key, "j1", 940, -7);
    assertThat(reservation.encode(), equalTo(bytes(RESERVATION_WITH_TENANT)));
    assertThat(WaitingTokens.Reservation.decode(bytes(RESERVATION_WITH_TENANT)), is(reservation));
    assertThat(reservation.withoutTokens().quotaKey(), is(key));
    QuotaKey keyWithoutTenant = WaitingTokens.Reservation.decode(bytes(RESERVATION)).quotaKey();
    assertThat(keyWithoutTenant, is(new QuotaKey("r", TenantName.NONE)));
  }

  @Test
  void encodingsOfReservationAndWaitingTokensArePinned() {
    WaitingTokens.Reservation reservation = new WaitingTokens.Reservation("r", "j1", 940, -7);
    assertThat(reservation.encode(), equalTo(bytes(RESERVATION)));
    assertThat(WaitingTokens.Reservation.decode(bytes(RESERVATION)), is(reservation));
    WaitingTokens count = new WaitingTokens();
    count.put(ContentDigest.of("j1"), 2, 940);
    assertThat(count.encode(), equalTo(bytes(WAITING_TOKENS)));
    WaitingTokens decoded = new WaitingTokens();
    decoded.mergeAll(List.of(bytes(WAITING_TOKENS)));
    assertThat(decoded.totalExcept("j2"), is(940L));
    assertThat(decoded.acceptedExcept("j2"), is(940L));
  }
}
