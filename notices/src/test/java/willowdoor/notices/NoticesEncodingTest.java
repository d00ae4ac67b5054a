package willowdoor.notices;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Tests the encodings (event ids, requests, events, messages between front doors), the exchange of
 * interest and the assignment of slots.
 */
class NoticesEncodingTest {
  private static final StreamId ONE = new StreamId(3, 1_700_000, 12);
  private static final StreamId TWO = new StreamId(40, 7, 1);
  private static final Notice NOTICE = new Notice(5, ONE, 9, "a".getBytes(StandardCharsets.UTF_8));

  @Test
  void parsesOnlyIdsThatItWrites() {
    Position position = Position.NONE.with(ONE, 99).with(TWO, 1);
    assertEquals("14.7.1.1_3.10fq8.c.2r", position.text(TWO));
    assertEquals(99, Position.parse(position.text(TWO)).of(ONE));
    assertEquals(0, Position.parse("-").size());
    for (String bad :
        List.of(
            "",
            "_",
            "3.1.1",
            "3.1.1.1.1",
            "03.1.1.1",
            "3.1.1.A",
            "3.1.1.-1",
            "+3.1.1.1",
            "3.1.0.1",
            "-_4.1.1.1_3.1.1.1",
            "3.1.1.1_3.1.1.2",
            "-_",
            "3.1.1.1 ",
            "a".repeat(5_000))) {
      assertThrows(IllegalArgumentException.class, () -> Position.parse(bad), bad);
    }
    MoveOrder order = new MoveOrder(4, -5, 1, -77, 5, 2, 0, PaceClass.SLOW);
    assertEquals(order, MoveOrder.parse(order.text()));
    for (String bad :
        List.of("", "1.2.3", order.text() + "x", "S" + order.text(), "0" + order.text())) {
      assertThrows(IllegalArgumentException.class, () -> MoveOrder.parse(bad), bad);
    }
  }

  private static String status(
      String method, String target, Map<String, String> headers, int bytes) {
    byte[] body = "x".repeat(bytes).getBytes(StandardCharsets.UTF_8);
    NoticesApi.Call call =
        NoticesApi.parse(
            method,
            target,
            name -> headers.containsKey(name) ? List.of(headers.get(name).split("\\|")) : List.of(),
            body);
    return call instanceof NoticesApi.Refused no
        ? "" + no.status()
        : call.getClass().getSimpleName();
  }

  @Test
  void rejectsMalformedRequests() {
    String path = NoticesApi.PATH;
    String five = "0000000000000005";
    Map<String, String> who = Map.of("x-customer", five);
    String move = path + "?move=" + new MoveOrder(1, 2, 1, 3, 5, 2, 0, null).text();
    assertEquals("Read", status("GET", path, who, 0));
    assertEquals("Read", status("GET", move, who, 0));
    assertEquals("Publish", status("POST", path, who, 16_384));
    assertEquals("404", status("GET", path + "/x", who, 0));
    assertEquals("405", status("PUT", path, who, 0));
    assertEquals("413", status("POST", path, who, 16_385));
    assertEquals("415", status("POST", path, Map.of("x-customer", five, "content-type", "a/b"), 1));
    assertEquals("406", status("GET", path, Map.of("x-customer", five, "accept", "a/b"), 0));
    for (String bad : List.of("5", "000000000000000G", "0000000200000000", five + "|" + five)) {
      assertEquals("400", status("GET", path, Map.of("x-customer", bad), 0));
    }
    assertEquals("400", status("GET", path, Map.of(), 0));
    assertEquals("400", status("POST", path, who, 0));
    assertEquals("400", status("POST", path + "?a", who, 1));
    assertEquals("400", status("GET", path + "?a", who, 0));
    assertEquals("400", status("GET", path, who, 1));
    assertEquals("400", status("GET", move, Map.of("x-customer", "0000000000000006"), 0));
    assertEquals("400", status("GET", path, Map.of("x-customer", five, "last-event-id", "1"), 0));
  }

  @Test
  void writesEachLineOfANoticeAsADataField() {
    Notice lines = new Notice(5, TWO, 1, "a\r\nb\rc\n".getBytes(StandardCharsets.UTF_8));
    assertEquals(
        "id: 14.7.1.1\ndata: a\ndata: b\ndata: c\ndata: \n\n",
        new String(
            new ServerSentEvents().notice(lines, Position.NONE.with(TWO, 1)),
            StandardCharsets.UTF_8));
  }

  @Test
  void appliesInterestOnlyWhenContiguousOrComplete() {
    Interest one = new Interest(1, 1);
    Interest other = new Interest(2, 1);
    LongStream.rangeClosed(1, 250).forEach(c -> one.set(c, true));
    for (int i = 0; i < 3; i++) {
      other.apply(one.changesSince(other.knownVersion(1, 1)));
    }
    assertTrue(other.hasReaders(1, 250));
    Interest.Delta before = one.changesSince(250);
    one.set(7, false);
    Interest.Delta removal = one.changesSince(250);
    one.set(8, false);
    assertTrue(other.apply(one.changesSince(251)).isEmpty(), "does not follow the known version");
    assertEquals(List.of(7L), List.copyOf(other.apply(removal)));
    assertTrue(other.apply(removal).isEmpty(), "duplicate");
    assertTrue(other.apply(before).isEmpty(), "outdated");
    other.apply(new Interest(1, 2).changesSince(0));
    Interest restarted = new Interest(1, 2);
    restarted.set(9, true);
    assertTrue(other.apply(restarted.changesSince(0)).contains(9L));
    assertFalse(other.hasReaders(1, 250), "interest of an older process is void");
  }

  @Test
  void slotsAreBoundedAndMostlyStayWhenAMemberLeaves() {
    List<FleetView.Member> ten =
        IntStream.range(0, 10).mapToObj(i -> new FleetView.Member(i, 1, "d")).toList();
    SlowReaderPlacement all = new SlowReaderPlacement(ten);
    SlowReaderPlacement fewer = new SlowReaderPlacement(ten.subList(0, 9));
    int[] load = new int[10];
    int moved = 0;
    for (int place = 0; place < SlowReaderPlacement.SLOT_COUNT; place++) {
      load[all.memberFor(place)]++;
      moved += all.memberFor(place) != 9 && all.memberFor(place) != fewer.memberFor(place) ? 1 : 0;
    }
    assertTrue(IntStream.of(load).max().orElse(0) <= 32 && IntStream.of(load).min().orElse(0) > 0);
    assertTrue(moved < 64, "slots moved unnecessarily: " + moved);
  }

  private static final List<PeerMessage> MESSAGES =
      List.of(
          new PeerMessage.Offer(5, ONE, new ReplicaHolder(2, 3)),
          new PeerMessage.Want(ONE, -1, 17),
          new PeerMessage.Begin(5, ONE, 4, ReplicaHolder.NONE),
          new PeerMessage.Gap(ONE, 8),
          new PeerMessage.End(TWO, 8),
          new PeerMessage.Have(ONE, 9),
          new PeerMessage.Fetch(ONE, 1, 9),
          new PeerMessage.Pass(NOTICE),
          new PeerMessage.Fetched(ONE, 7, 8, List.of(NOTICE, NOTICE)));

  @Test
  void decodesMessagesAndRejectsCorruptedOnes() throws IOException {
    Random random = new Random(1);
    int refused = 0;
    for (PeerMessage message : MESSAGES) {
      byte[] frame = PeerCodec.encode(message);
      assertArrayEquals(frame, PeerCodec.encode(PeerCodec.decode(frame)));
      for (int n = 0; n < 5_000; n++) {
        int cut = n % 3 == 0 ? random.nextInt(frame.length) : 0;
        byte[] corrupted = Arrays.copyOf(frame, frame.length - cut);
        for (int i = 0; i < 1 + n % 4 && corrupted.length > 0; i++) {
          corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt();
        }
        try {
          PeerCodec.decode(corrupted);
        } catch (IOException e) {
          refused++;
        }
      }
    }
    assertTrue(refused > 20_000, "frames refused: " + refused);
    PeerCodec.Hello hello = new PeerCodec.Hello("fleet", 3, 9);
    assertEquals(hello, PeerCodec.hello(PeerCodec.encode(hello)));
    Interest.Delta delta = new Interest.Delta(1, 2, 3, 9, List.of(4L), List.of(5L, 6L));
    assertEquals(delta, PeerCodec.delta(PeerCodec.encode(delta)));
    assertThrows(IOException.class, () -> PeerCodec.decode(PeerCodec.encode(hello)));
    assertThrows(IOException.class, () -> PeerCodec.decode(new byte[PeerCodec.MAX_FRAME + 1]));
  }
}
