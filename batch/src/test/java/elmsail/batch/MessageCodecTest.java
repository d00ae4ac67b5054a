package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.batch.messages.ByteReader;
import elmsail.batch.messages.ByteWriter;
import elmsail.batch.messages.JobBodyCodec;
import elmsail.batch.messages.JobDescription;
import elmsail.batch.messages.JobRecord;
import elmsail.batch.messages.JobRequestParser;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

class MessageCodecTest {
  private static final String ITEM =
      "{\"id\":\"x\",\"lane\":\"/p/1\",\"envelope\":{\"A\":\"b c\"},"
          + "\"contents\":\"q83vEjRWeJA=\",\"tokens\":940}";

  private static List<BatchItem> parse(String json) {
    return JobRequestParser.parse(json.getBytes(StandardCharsets.UTF_8));
  }

  private static String jobWithReplacedText(String original, String replacement) {
    return "{\"pieces\":[" + ITEM.replace(original, replacement) + "]}";
  }

  @Test
  void validJobRequestIsParsedAndItsItemsRoundTrip() {
    List<BatchItem> items = parse("{\"more\":[1,{}],\"pieces\":[" + ITEM + "]}");
    assertThat(items, hasSize(1));
    assertThat(items.get(0).headers().get("A"), is("b c"));
    assertThat(items.get(0).body().length, is(8));
    assertThat(items.get(0).tokens(), is(940L));
    BatchItem decoded = JobBodyCodec.decode(JobBodyCodec.encode(items)).get(0);
    assertThat(decoded.path(), is("/p/1"));
    assertThat(decoded.headers(), is(items.get(0).headers()));
    assertThat(Arrays.equals(decoded.body(), items.get(0).body()), is(true));
  }

  @Test
  void malformedJobRequestsAreRejected() {
    List<String> malformed =
        List.of(
            "",
            "[]",
            "{}",
            "{\"pieces\":[]}",
            "{\"pieces\":{}}",
            "{\"pieces\":[1]}",
            "{\"pieces\":[" + ITEM + "," + ITEM + "]}",
            "{\"pieces\":[" + ITEM + "]",
            jobWithReplacedText("\"x\"", "7"),
            "{\"pieces\":[" + ITEM + "]} {}",
            jobWithReplacedText("/p/1", "p/1"),
            jobWithReplacedText("/p/1", "/p 1"),
            jobWithReplacedText("/p/1", "/p\\r\\n"),
            jobWithReplacedText("b c", "b\\r\\nC: d"),
            jobWithReplacedText("\"A\"", "\"A\\n\""),
            jobWithReplacedText("940", "-1"),
            jobWithReplacedText("940", "1.5"),
            jobWithReplacedText("940", "\"940\""),
            jobWithReplacedText("940", "99999999999999999999"),
            jobWithReplacedText("q83vEjRWeJA=", "q83vE*"),
            jobWithReplacedText("\"id\":\"x\",", ""),
            jobWithReplacedText("\"lane\":\"/p/1\",", ""),
            jobWithReplacedText(",\"tokens\":940", ""),
            jobWithReplacedText("\"contents\":\"q83vEjRWeJA=\",", ""),
            jobWithReplacedText("\"envelope\":{\"A\":\"b c\"},", ""),
            jobWithReplacedText("\"id\":\"x\"", "\"id\":\"x\",\"id\":\"y\""));
    for (String json : malformed) {
      ElmsailException thrown = assertThrows(ElmsailException.class, () -> parse(json), json);
      assertThat(json, thrown.code(), is(ErrorCode.INVALID_ARGUMENT));
    }
  }

  private static JobRecord recordWithAllFields(List<JobRecord.FailedAttempts> failures) {
    return new JobRecord(
        3,
        new JobDescription(
            "r",
            "h.example",
            5,
            10_000,
            60_000,
            "body-7",
            List.of(new JobRecord.Item("a", 1L << 39), new JobRecord.Item("ü", 0))),
        List.of(new JobRecord.Result(1, true, 2, 77)),
        true,
        "10.0.0.1:7",
        2,
        1_234,
        failures);
  }

  @Test
  void recordRoundTripsAndTruncatedRecordIsRejected() {
    JobRecord record = recordWithAllFields(List.of());
    assertThat(JobRecord.decode(record.encode()), is(record));
    byte[] encoded = record.encode();
    for (int length = 0; length < encoded.length; length++) {
      byte[] truncated = Arrays.copyOf(encoded, length);
      assertThat(
          assertThrows(ElmsailException.class, () -> JobRecord.decode(truncated)).code(),
          is(ErrorCode.MALFORMED));
    }
  }

  /**
   * Later software versions read the records on the disks of stores, so the bytes must not change.
   */
  @Test
  void recordEncodingIsPinned() {
    JobRecord record = recordWithAllFields(List.of(new JobRecord.FailedAttempts(0, 2)));
    byte[] bytes =
        HexFormat.of()
            .parseHex(
                "0203017209682e6578616d706c6505904ee0d40306626f64792d37010a31302e302e302e313a37"
                    + "02d20902016180808080801002c3bc00010101024d010002");
    assertThat(record.encode(), is(bytes));
    assertThat(JobRecord.decode(bytes), is(record));
  }

  private static JobRecord recordWithThreeItems() {
    List<JobRecord.Item> items = new ArrayList<>();
    for (String id : List.of("a", "b", "c")) {
      items.add(new JobRecord.Item(id, 5));
    }
    return JobRecord.accepted(new JobDescription("r", "h", 1, 1, 1, "b", items), "d");
  }

  @Test
  void failedAttemptsStayInARecordUntilTheirItemHasAResult() {
    JobRecord.FailedAttempts attemptsOfA = new JobRecord.FailedAttempts(0, 2);
    JobRecord.FailedAttempts attemptsOfC = new JobRecord.FailedAttempts(2, 1);
    JobRecord failed =
        recordWithThreeItems().withResults(List.of(), List.of(attemptsOfC, attemptsOfA), 0);
    JobRecord next = failed.withRunner("e", 10).rewritten();
    assertThat(JobRecord.decode(next.encode()), is(next));
    assertThat(next.failedAttempts(), contains(attemptsOfA, attemptsOfC));
    JobRecord lower = next.withResults(List.of(), List.of(new JobRecord.FailedAttempts(0, 1)), 0);
    assertThat("a lower count does not replace a higher one", lower.failedAttemptsOf(0), is(2));
    JobRecord withResult = lower.withResults(List.of(new JobRecord.Result(0, false, 2, 0)), 0);
    assertThat(withResult.failedAttempts(), contains(attemptsOfC));
    assertThat(withResult.failedAttemptsOf(0), is(0));
    assertThat(withResult.withCancellation().failedAttempts(), contains(attemptsOfC));
  }

  private static JobRecord recordWithTenant() {
    List<JobRecord.Item> items = List.of(new JobRecord.Item("a", 5));
    return JobRecord.accepted(
        new JobDescription("r", "h", 1, 1, 1, "b", items, new TenantName("t")), "d");
  }

  @Test
  void recordWithTenantRoundTripsAndTruncatedRecordIsRejected() {
    byte[] encoded = recordWithTenant().encode();
    assertThat(JobRecord.decode(encoded), is(recordWithTenant()));
    for (int length = 0; length < encoded.length; length++) {
      byte[] truncated = Arrays.copyOf(encoded, length);
      assertThat(
          assertThrows(ElmsailException.class, () -> JobRecord.decode(truncated)).code(),
          is(ErrorCode.MALFORMED));
    }
  }

  @Test
  void formatOneIsDecodedAndALaterFormatIsRejected() {
    JobRecord record = recordWithThreeItems();
    byte[] formatOne = Arrays.copyOf(record.encode(), record.encode().length - 1);
    formatOne[0] = 1;
    assertThat(JobRecord.decode(formatOne), is(record));
    for (byte later : new byte[] {4, 127}) {
      byte[] bytes = recordWithTenant().encode();
      bytes[0] = later;
      assertThat(
          assertThrows(ElmsailException.class, () -> JobRecord.decode(bytes)).code(),
          is(ErrorCode.MALFORMED));
    }
    byte[] withoutTenant = record.encode();
    withoutTenant[0] = 3;
    assertThat(
        assertThrows(ElmsailException.class, () -> JobRecord.decode(withoutTenant)).code(),
        is(ErrorCode.MALFORMED));
  }

  @Test
  void firstResultOfAnItemIsKept() {
    JobRecord record =
        JobRecord.accepted(
            new JobDescription(
                "r",
                "h",
                1,
                1,
                1,
                "b",
                List.of(new JobRecord.Item("a", 5), new JobRecord.Item("b", 7))),
            "d");
    JobRecord.Result first = new JobRecord.Result(1, true, 1, 3);
    JobRecord.Result again = new JobRecord.Result(1, false, 2, 0);
    JobRecord withResult =
        record.withResults(List.of(first), 10).withResults(List.of(again, again), 5);
    assertThat(withResult.results(), contains(first));
    assertThat(withResult.waitingTokens(), is(5L));
    assertThat(withResult.ageMs(), is(10L));
    assertThat(withResult.withCancellation().waitingTokens(), is(0L));
  }

  @Test
  void varintsRoundTrip() {
    long[] numbers = {0, 1, 127, 128, 300, Long.MAX_VALUE, -1, Long.MIN_VALUE};
    ByteWriter writer = new ByteWriter();
    for (long number : numbers) {
      writer.writeVarint(number);
    }
    ByteReader reader = new ByteReader(writer.toByteArray());
    for (long number : numbers) {
      assertThat(reader.readVarint(), is(number));
    }
    assertThat(reader.hasRemaining(), is(false));
  }
}
