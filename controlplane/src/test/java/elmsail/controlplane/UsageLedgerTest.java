package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class UsageLedgerTest {
  private static SortedMap<String, Long> counts(long requests) {
    return new TreeMap<>(Map.of("kaje80", requests));
  }

  @Test
  void countsOfAFinalizedWindowDoNotChange() {
    UsageLedger first =
        UsageLedger.startingAfter(9).finalizeCounts(0, 11, window -> counts(window));
    UsageLedger second = first.finalizeCounts(0, 12, window -> counts(100 + window));
    assertThat(second.unsent(), is(Map.of(10L, counts(10), 11L, counts(11), 12L, counts(112))));
    assertThat(second.finalizeCounts(0, 5, window -> counts(0)), is(second));
  }

  @Test
  void acceptedWindowsAreRemovedAndNotFinalizedAgain() {
    UsageLedger ledger =
        UsageLedger.startingAfter(9)
            .finalizeCounts(0, 11, window -> counts(1))
            .without(List.of(10L, 11L))
            .finalizeCounts(0, 11, window -> counts(2));
    assertThat(ledger.unsent().keySet(), empty());
    assertThat(ledger.lastFinalizedWindow(), is(11L));
  }

  @Test
  void windowsThatAreTooOldAreSkipped() {
    UsageLedger ledger = UsageLedger.startingAfter(9).finalizeCounts(50, 51, window -> counts(1));
    assertThat(ledger.unsent().keySet(), contains(50L, 51L));
    assertThat(
        ledger.finalizeCounts(51, 52, window -> counts(1)).unsent().keySet(), contains(51L, 52L));
  }

  @Test
  void registerValueKeepsItsFormat() {
    String pinned =
        "01"
            + "0000000015112233"
            + "00000001"
            + "0000000015112232"
            + "00000002"
            + "00066b616a653830"
            + "000000000000019c"
            + "0006766f70753131"
            + "0000000000000001";
    SortedMap<String, Long> counts = new TreeMap<>(Map.of("kaje80", 412L, "vopu11", 1L));
    UsageLedger ledger = new UsageLedger(0x15112233, new TreeMap<>(Map.of(0x15112232L, counts)));
    assertThat(HexFormat.of().formatHex(ledger.encode()), is(pinned));
    assertThat(UsageLedger.decode(HexFormat.of().parseHex(pinned)), is(ledger));
  }

  @Test
  void invalidBytesAreRejectedAsMalformed() {
    for (String bytes : List.of("", "02", "010000000015112233ffffffff", "01000000")) {
      ElmsailException refused =
          assertThrows(
              ElmsailException.class,
              () -> UsageLedger.decode(HexFormat.of().parseHex(bytes)),
              bytes);
      assertThat(refused.code(), is(ErrorCode.MALFORMED));
    }
  }

  @Test
  void jsonBodyMatchesThePlatformsApi() {
    assertThat(
        new String(
            UsageJson.encode(353_445_120, new TreeMap<>(Map.of("vopu11", 412L, "kaje80", 412L))),
            StandardCharsets.UTF_8),
        is("{\"window_no\":353445120,\"counts\":{\"kaje80\":412,\"vopu11\":412}}"));
    assertThat(
        new String(
            UsageJson.encode(1, new TreeMap<>(Map.of("a\"b\\\n", 1L))), StandardCharsets.UTF_8),
        is("{\"window_no\":1,\"counts\":{\"a\\\"b\\\\\\u000a\":1}}"));
  }
}
