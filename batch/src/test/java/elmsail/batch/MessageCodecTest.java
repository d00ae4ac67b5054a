package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.batch.messages.ByteReader;
import elmsail.batch.messages.ByteWriter;
import elmsail.batch.messages.JobBody;
import elmsail.batch.messages.JobDescription;
import elmsail.batch.messages.JobRecord;
import elmsail.batch.messages.JobRequestReader;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

class MessageCodecTest {
  private static final String PIECE =
      "{\"id\":\"x\",\"lane\":\"/p/1\",\"envelope\":{\"A\":\"b c\"},"
          + "\"contents\":\"q83vEjRWeJA=\",\"tokens\":940}";

  private static List<BatchItem> read(String json) {
    return JobRequestReader.read(json.getBytes(StandardCharsets.UTF_8));
  }

  private static String with(String part, String other) {
    return "{\"pieces\":[" + PIECE.replace(part, other) + "]}";
  }

  @Test
  void aJobIsReadAsItStands() {
    List<BatchItem> batchItems = read("{\"more\":[1,{}],\"pieces\":[" + PIECE + "]}");
    assertThat(batchItems, hasSize(1));
    assertThat(batchItems.get(0).envelope().get("A"), is("b c"));
    assertThat(batchItems.get(0).contents().length, is(8));
    assertThat(batchItems.get(0).tokens(), is(940L));
    BatchItem back = JobBody.unpacked(JobBody.packed(batchItems)).get(0);
    assertThat(back.lane(), is("/p/1"));
    assertThat(back.envelope(), is(batchItems.get(0).envelope()));
    assertThat(Arrays.equals(back.contents(), batchItems.get(0).contents()), is(true));
  }

  @Test
  void whatIsNotAJobIsNotRead() {
    List<String> malformed =
        List.of(
            "",
            "[]",
            "{}",
            "{\"pieces\":[]}",
            "{\"pieces\":{}}",
            "{\"pieces\":[1]}",
            "{\"pieces\":[" + PIECE + "," + PIECE + "]}",
            "{\"pieces\":[" + PIECE + "]",
            with("\"x\"", "7"),
            "{\"pieces\":[" + PIECE + "]} {}",
            with("/p/1", "p/1"),
            with("/p/1", "/p 1"),
            with("/p/1", "/p\\r\\n"),
            with("b c", "b\\r\\nC: d"),
            with("\"A\"", "\"A\\n\""),
            with("940", "-1"),
            with("940", "1.5"),
            with("940", "\"940\""),
            with("940", "99999999999999999999"),
            with("q83vEjRWeJA=", "q83vE*"),
            with("\"id\":\"x\",", ""),
            with("\"lane\":\"/p/1\",", ""),
            with(",\"tokens\":940", ""),
            with("\"contents\":\"q83vEjRWeJA=\",", ""),
            with("\"envelope\":{\"A\":\"b c\"},", ""),
            with("\"id\":\"x\"", "\"id\":\"x\",\"id\":\"y\""));
    for (String json : malformed) {
      ElmsailException thrown = assertThrows(ElmsailException.class, () -> read(json), json);
      assertThat(json, thrown.code(), is(ErrorCode.INVALID_ARGUMENT));
    }
  }

  private static JobRecord wholeRecord(List<JobRecord.FailureCount> failures) {
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
  void aRecordIsTheSameOncePackedAndUnpacked() {
    JobRecord record = wholeRecord(List.of());
    assertThat(JobRecord.unpacked(record.packed()), is(record));
    byte[] packed = record.packed();
    for (int cut = 0; cut < packed.length; cut++) {
      byte[] part = Arrays.copyOf(packed, cut);
      assertThat(
          assertThrows(ElmsailException.class, () -> JobRecord.unpacked(part)).code(),
          is(ErrorCode.MALFORMED));
    }
  }

  /** What stores have on disk is read by later programs: a record's bytes stay as they are. */
  @Test
  void aRecordsBytesAreThoseOfItsFormat() {
    JobRecord record = wholeRecord(List.of(new JobRecord.FailureCount(0, 2)));
    byte[] bytes =
        HexFormat.of()
            .parseHex(
                "0203017209682e6578616d706c6505904ee0d40306626f64792d37010a31302e302e302e313a37"
                    + "02d20902016180808080801002c3bc00010101024d010002");
    assertThat(record.packed(), is(bytes));
    assertThat(JobRecord.unpacked(bytes), is(record));
  }

  private static JobRecord threeItems() {
    List<JobRecord.Item> items = new ArrayList<>();
    for (String id : List.of("a", "b", "c")) {
      items.add(new JobRecord.Item(id, 5));
    }
    return new JobRecord(
        1, new JobDescription("r", "h", 1, 1, 1, "b", items), List.of(), false, "d", 1, 0);
  }

  @Test
  void failuresStayWithARecordUntilTheirItemIsListed() {
    JobRecord.FailureCount ofA = new JobRecord.FailureCount(0, 2);
    JobRecord.FailureCount ofC = new JobRecord.FailureCount(2, 1);
    JobRecord failed = threeItems().listing(List.of(), List.of(ofC, ofA), 0);
    JobRecord next = failed.runBy("e", 10).again();
    assertThat(JobRecord.unpacked(next.packed()), is(next));
    assertThat(next.failures(), contains(ofA, ofC));
    JobRecord lower = next.listing(List.of(), List.of(new JobRecord.FailureCount(0, 1)), 0);
    assertThat("a lower count does not replace one", lower.failuresOf(0), is(2));
    JobRecord listed = lower.listing(List.of(new JobRecord.Result(0, false, 2, 0)), 0);
    assertThat(listed.failures(), contains(ofC));
    assertThat(listed.failuresOf(0), is(0));
    assertThat(listed.endedNow().failures(), contains(ofC));
  }

  @Test
  void aRecordOfTheFirstFormatIsReadAndOneOfALaterFormatIsNot() {
    JobRecord record = threeItems();
    byte[] first = Arrays.copyOf(record.packed(), record.packed().length - 1);
    first[0] = 1;
    assertThat(JobRecord.unpacked(first), is(record));
    byte[] later = record.packed();
    later[0] = 3;
    assertThat(
        assertThrows(ElmsailException.class, () -> JobRecord.unpacked(later)).code(),
        is(ErrorCode.MALFORMED));
  }

  @Test
  void whatIsListedFirstStays() {
    JobRecord record =
        new JobRecord(
            1,
            new JobDescription(
                "r",
                "h",
                1,
                1,
                1,
                "b",
                List.of(new JobRecord.Item("a", 5), new JobRecord.Item("b", 7))),
            List.of(),
            false,
            "d",
            1,
            0);
    JobRecord.Result first = new JobRecord.Result(1, true, 1, 3);
    JobRecord.Result again = new JobRecord.Result(1, false, 2, 0);
    JobRecord listed = record.listing(List.of(first), 10).listing(List.of(again, again), 5);
    assertThat(listed.results(), contains(first));
    assertThat(listed.waiting(), is(5L));
    assertThat(listed.ageMs(), is(10L));
    assertThat(listed.endedNow().waiting(), is(0L));
  }

  @Test
  void numbersAreReadAsTheyWereWritten() {
    long[] numbers = {0, 1, 127, 128, 300, Long.MAX_VALUE, -1, Long.MIN_VALUE};
    ByteWriter to = new ByteWriter();
    for (long one : numbers) {
      to.number(one);
    }
    ByteReader from = new ByteReader(to.packed());
    for (long one : numbers) {
      assertThat(from.number(), is(one));
    }
    assertThat(from.more(), is(false));
  }
}
