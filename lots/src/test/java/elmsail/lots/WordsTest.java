package elmsail.lots;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.lots.words.LotBody;
import elmsail.lots.words.LotReader;
import elmsail.lots.words.LotRecord;
import elmsail.lots.words.Packer;
import elmsail.lots.words.Unpacker;
import elmsail.station.Code;
import elmsail.station.ElmsailException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class WordsTest {
  private static final String PIECE = "{\"id\":\"x\",\"lane\":\"/p/1\",\"envelope\":{\"A\":\"b c\"},"
      + "\"contents\":\"q83vEjRWeJA=\",\"tokens\":940}";

  private static List<Piece> read(String json) {
    return LotReader.read(json.getBytes(StandardCharsets.UTF_8));
  }

  private static String with(String part, String other) {
    return "{\"pieces\":[" + PIECE.replace(part, other) + "]}";
  }

  @Test
  void aLotIsReadAsItStands() {
    List<Piece> pieces = read("{\"more\":[1,{}],\"pieces\":[" + PIECE + "]}");
    assertThat(pieces, hasSize(1));
    assertThat(pieces.get(0).envelope().get("A"), is("b c"));
    assertThat(pieces.get(0).contents().length, is(8));
    assertThat(pieces.get(0).tokens(), is(940L));
    Piece back = LotBody.unpacked(LotBody.packed(pieces)).get(0);
    assertThat(back.lane(), is("/p/1"));
    assertThat(back.envelope(), is(pieces.get(0).envelope()));
    assertThat(Arrays.equals(back.contents(), pieces.get(0).contents()), is(true));
  }

  @Test
  void whatIsNotALotIsNotRead() {
    List<String> malformed = List.of("", "[]", "{}", "{\"pieces\":[]}", "{\"pieces\":{}}", "{\"pieces\":[1]}",
        "{\"pieces\":[" + PIECE + "," + PIECE + "]}", "{\"pieces\":[" + PIECE + "]", with("\"x\"", "7"),
        "{\"pieces\":[" + PIECE + "]} {}", with("/p/1", "p/1"), with("/p/1", "/p 1"), with("/p/1",
            "/p\\r\\n"),
        with("b c", "b\\r\\nC: d"), with("\"A\"", "\"A\\n\""), with("940", "-1"), with("940", "1.5"),
        with("940", "\"940\""), with("940", "99999999999999999999"), with("q83vEjRWeJA=", "q83vE*"),
        with("\"id\":\"x\",", ""), with("\"lane\":\"/p/1\",", ""), with(",\"tokens\":940", ""),
        with("\"contents\":\"q83vEjRWeJA=\",", ""), with("\"envelope\":{\"A\":\"b c\"},", ""),
        with("\"id\":\"x\"", "\"id\":\"x\",\"id\":\"y\""));
    for (String json : malformed) {
      ElmsailException thrown = assertThrows(ElmsailException.class, () -> read(json), json);
      assertThat(json, thrown.code(), is(Code.BAD_CALL));
    }
  }

  @Test
  void aRecordIsTheSameOncePackedAndUnpacked() {
    LotRecord record = new LotRecord(3, "r", "h.example", 5, 10_000, 60_000, "body-7",
        List.of(new LotRecord.Item("a", 1L << 39), new LotRecord.Item("ü", 0)),
        List.of(new LotRecord.Result(1, true, 2, 77)), true, "10.0.0.1:7", 2, 1_234);
    assertThat(LotRecord.unpacked(record.packed()), is(record));
    byte[] packed = record.packed();
    for (int cut = 0; cut < packed.length; cut++) {
      byte[] part = Arrays.copyOf(packed, cut);
      assertThat(assertThrows(ElmsailException.class, () -> LotRecord.unpacked(part)).code(),
          is(Code.GARBLED));
    }
  }

  @Test
  void whatIsListedFirstStays() {
    LotRecord record = new LotRecord(1, "r", "h", 1, 1, 1, "b",
        List.of(new LotRecord.Item("a", 5), new LotRecord.Item("b", 7)), List.of(), false, "d", 1, 0);
    LotRecord.Result first = new LotRecord.Result(1, true, 1, 3);
    LotRecord.Result again = new LotRecord.Result(1, false, 2, 0);
    LotRecord listed = record.listing(List.of(first), 10).listing(List.of(again, again), 5);
    assertThat(listed.results(), contains(first));
    assertThat(listed.waiting(), is(5L));
    assertThat(listed.ageMs(), is(10L));
    assertThat(listed.endedNow().waiting(), is(0L));
  }

  @Test
  void numbersAreReadAsTheyWereWritten() {
    long[] numbers = {0, 1, 127, 128, 300, Long.MAX_VALUE, -1, Long.MIN_VALUE};
    Packer to = new Packer();
    for (long one : numbers) {
      to.number(one);
    }
    Unpacker from = new Unpacker(to.packed());
    for (long one : numbers) {
      assertThat(from.number(), is(one));
    }
    assertThat(from.more(), is(false));
  }
}
