package willowdoor.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/** Round trips of messages, and the datagrams that the codec drops. */
class CodecTest {

  private final ModelFleet fleet = fleet();
  private final Roster roster = fleet.roster;
  private final Counts counts = new Counts();
  private final Codec sender = new Codec(roster, 0, counts);
  private final Codec codec = new Codec(roster, 1, counts);
  private final Message.Header header = new Message.Header(0, 1, 1L << 60, -3, 1, roster.hash());

  private static ModelFleet fleet() {
    try {
      return ModelFleet.converged(5, 1);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private List<Message> messageOfEachKind() {
    Statement plain = new Statement(2, 5L << 20, 1, MemberState.ALIVE, List.of(), Tags.NONE);
    Statement tagged =
        new Statement(
            3,
            7L << 20,
            0,
            MemberState.SUSPECT,
            List.of(0, 4),
            Tags.of(Map.of("a", new byte[3], "b", new byte[0])));
    List<Message.Body> bodies =
        List.of(
            new Message.Ping(1),
            new Message.Ack(2, 1),
            new Message.PingRequest(3, 4, 90),
            new Message.Nack(4, 2),
            new Message.Gossip(),
            new Message.ExchangeRequest(5, new byte[] {1, -2}),
            new Message.ExchangeResponse(6, 1, 2, 3),
            new Message.ExchangeUpdate(7));
    return bodies.stream().map(b -> new Message(header, b, List.of(plain, tagged))).toList();
  }

  private Count dropReason(Codec receiver, byte[] datagram, int from) {
    return assertThrows(
            Codec.DroppedDatagramException.class,
            () -> receiver.decode(datagram, datagram.length, from))
        .reason;
  }

  @Test
  void everyMessageKindSurvivesARoundTrip() throws Exception {
    for (Message message : messageOfEachKind()) {
      byte[] datagram = sender.encode(message);
      Message read = codec.decode(datagram, datagram.length, 0);
      assertEquals(header, read.header());
      assertEquals(message.statements().get(0), read.statements().get(0));
      assertEquals(List.of(0, 4), read.statements().get(1).accusers());
      assertEquals(
          List.of("a", "b"), new ArrayList<>(read.statements().get(1).tags().values().keySet()));
      assertTrue(Arrays.equals(datagram, sender.encode(read)));
    }
  }

  @Test
  void invalidOrMisaddressedDatagramIsDroppedWithItsReason() {
    byte[] datagram = sender.encode(messageOfEachKind().get(0));
    assertEquals(Count.OTHER_NAME, dropReason(codec, datagram, 2));
    assertEquals(Count.NOT_FOR_ME, dropReason(new Codec(roster, 2, counts), datagram, 0));
    Roster other = new Roster("other", 1, List.of(roster.peer(0), roster.peer(1)));
    assertEquals(Count.OTHER_FLEET, dropReason(new Codec(other, 1, counts), datagram, 0));
    assertEquals(
        Count.TOO_LONG, dropReason(codec, new byte[EncodedSizes.MAX_DATAGRAM_BYTES + 1], 0));
    datagram[5] ^= 3;
    assertEquals(Count.CHECKSUM, dropReason(codec, datagram, 0));
    assertEquals(
        Count.OTHER_PROTOCOL, dropReason(codec, Codec.writeChecksum(datagram, datagram.length), 0));
  }

  @Test
  void namesMissingFromTheRosterAreIgnored() throws Exception {
    Roster smaller =
        new Roster("model", 2, List.of(roster.peer(0), roster.peer(1), roster.peer(3)));
    byte[] datagram = sender.encode(messageOfEachKind().get(0));
    Message read = new Codec(smaller, 1, counts).decode(datagram, datagram.length, 0);
    assertEquals(List.of(2), read.statements().stream().map(Statement::member).toList());
    assertEquals(List.of(0), read.statements().get(0).accusers());
    assertEquals(1, counts.get(Count.UNKNOWN_MEMBER));
  }

  @Test
  void longestNamesTagsAndListsFitIntoOneDatagram() throws Exception {
    List<Roster.Peer> peers = new ArrayList<>();
    for (int i = 0; i < 600; i++) {
      peers.add(
          new Roster.Peer(
              "m".repeat(28) + (1_000 + i), i, "10.1." + i / 250 + '.' + i % 250, 7_946));
    }
    Roster longNames = new Roster("f".repeat(32), 1, peers);
    Tags tags = Tags.of(Map.of("n".repeat(16), new byte[112]));
    List<Integer> lengths = new ArrayList<>();
    Effects effects =
        new Effects() {
          @Override
          public void send(int to, Message message) {
            lengths.add(new Codec(longNames, 0, counts).encode(message).length);
          }

          @Override
          public void changed(Statement was, Statement is) {}

          @Override
          public void isolationChanged(boolean cutOff) {}

          @Override
          public void duplicateNameFound(boolean superseded) {}
        };
    Membership member =
        new Membership(
            longNames,
            0,
            Timing.of(Map.of("urgent_bytes", 1_000L)),
            1L << 40,
            new SplittableRandom(1),
            effects,
            counts,
            0);
    for (int i = 1; i < 600; i++) {
      Message.Header from = new Message.Header(i, 0, 1L << 60, 0, 1, longNames.hash());
      Statement s =
          new Statement(
              i, 1L << 60, 1 << 29, MemberState.SUSPECT, List.of(1, 2, 3, 4, 5, 6, 7, 8), tags);
      Message.ExchangeRequest all = new Message.ExchangeRequest(Long.MAX_VALUE, new byte[0]);
      member.receive(new Message(from, all, List.of(s)), i * 1_000L);
      member.tick(i * 1_000L);
    }
    assertTrue(lengths.size() > 1_000);
    assertTrue(
        Collections.max(lengths) <= EncodedSizes.MAX_DATAGRAM_BYTES,
        "longest datagram in bytes: " + Collections.max(lengths));
  }

  /** Decodes many changed datagrams and delivers the accepted ones; returns their number. */
  private int countAccepted(UnaryOperator<byte[]> change) {
    int accepted = 0;
    for (int i = 0; i < 40_000; i++) {
      byte[] datagram = change.apply(sender.encode(messageOfEachKind().get(i % 8)));
      try {
        fleet.node(1).member.receive(codec.decode(datagram, datagram.length, 0), fleet.now);
        accepted++;
      } catch (Codec.DroppedDatagramException e) {
        counts.add(e.reason);
      }
    }
    return accepted;
  }

  @Test
  void corruptDatagramsNeitherThrowNorChangeTheView() {
    SplittableRandom random = new SplittableRandom(11);
    long digest = fleet.node(1).member.digest();
    assertEquals(
        0,
        countAccepted(
            d -> {
              byte[] noise = new byte[random.nextInt(1_500)];
              random.nextBytes(noise);
              return noise;
            }));
    assertEquals(0, countAccepted(d -> Arrays.copyOf(d, random.nextInt(d.length))));
    assertEquals(0, countAccepted(d -> mutated(d, random)));
    assertEquals(digest, fleet.node(1).member.digest());
    // With a valid checksum the corruption reaches the rest of the decoder, and accepted messages
    // reach the member.
    assertTrue(countAccepted(d -> Codec.writeChecksum(mutated(d, random), d.length)) > 0);
    assertTrue(
        countAccepted(
                d -> Codec.writeChecksum(Arrays.copyOf(d, 5 + random.nextInt(d.length - 5)), 5))
            >= 0);
    assertTrue(counts.get(Count.MALFORMED) > 10_000);
  }

  private static byte[] mutated(byte[] datagram, SplittableRandom random) {
    for (int i = 1 + random.nextInt(4); i > 0; i--) {
      datagram[random.nextInt(datagram.length)] ^= (byte) (1 + random.nextInt(255));
    }
    return datagram;
  }
}
