package willowdoor.purge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import willowdoor.purge.Message.HolderId;
import willowdoor.purge.Message.OutstandingLease;
import willowdoor.purge.Message.Purge;
import willowdoor.purge.Message.PurgeRequest;
import willowdoor.purge.Message.Reason;
import willowdoor.purge.Message.Result;
import willowdoor.purge.Message.State;

class CodecTest {
  private static final Fleet FLEET =
      new Fleet(List.of(0, 1, 2), List.of(0, 1, 2), Timing.of(3_000));
  private final Codec codec = new Codec("one", FLEET);
  private final Random random = new Random(7);

  @Test
  void decodesEveryEncodedMessageWithinTheDatagramLimit() throws Codec.DroppedDatagramException {
    for (int i = 0; i < 300; i++) {
      boolean largest = i % 2 == 0;
      for (Message message : messages(largest)) {
        byte[] datagram = codec.encode(message);
        assertTrue(
            datagram.length <= Codec.MAX_DATAGRAM_BYTES,
            message.getClass() + " of " + datagram.length);
        assertEquals(message, codec.decode(datagram));
      }
    }
  }

  @Test
  void dropsMalformedAndForeignDatagrams() {
    int unreadable = 0;
    for (int i = 0; i < 300; i++) {
      for (Message message : messages(false)) {
        byte[] datagram = codec.encode(message);
        byte[] cut = Arrays.copyOf(datagram, random.nextInt(datagram.length));
        assertThrows(Codec.DroppedDatagramException.class, () -> codec.decode(cut));
        assertThrows(
            Codec.DroppedDatagramException.class,
            () -> codec.decode(Arrays.copyOf(datagram, datagram.length + 1)));
        for (int flips = 0; flips < 3; flips++) {
          datagram[random.nextInt(datagram.length)] = (byte) random.nextInt();
          unreadable += decodes(datagram) ? 0 : 1;
        }
      }
      byte[] noise = new byte[random.nextInt(200)];
      random.nextBytes(noise);
      unreadable += decodes(noise) ? 0 : 1;
    }
    assertTrue(unreadable > 5_000, "unreadable " + unreadable);
    Fleet others = new Fleet(List.of(0, 1, 2), List.of(0, 1), FLEET.timing());
    for (Codec other : List.of(new Codec("two", FLEET), new Codec("one", others))) {
      Codec.DroppedDatagramException dropped =
          assertThrows(
              Codec.DroppedDatagramException.class,
              () -> codec.decode(other.encode(new Message.DoneAck(1))));
      assertEquals(Codec.Fault.OTHER_CONFIGURATION, dropped.fault);
    }
  }

  /**
   * Whether the datagram is decoded. An exception other than {@code DroppedDatagramException} fails
   * the test.
   */
  private boolean decodes(byte[] datagram) {
    try {
      codec.decode(datagram);
      return true;
    } catch (Codec.DroppedDatagramException e) {
      return false;
    }
  }

  private List<Message> messages(boolean largest) {
    Scope scope =
        new Scope(
            "c".repeat(largest ? 64 : 1), "/" + "p".repeat(largest ? 255 : random.nextInt(9)));
    Purge purge = new Purge(number(), random.nextInt(4_096), scope);
    List<PurgeRequest> claims = list(32, largest, () -> new PurgeRequest(id(), random.nextInt()));
    Result result =
        new Result(random.nextInt(5_000), list(64, largest, () -> 4_095 - random.nextInt(9)));
    int page = random.nextInt(64);
    List<OutstandingLease> leases =
        list(
            128,
            largest,
            () ->
                new OutstandingLease(
                    new HolderId(page * 64 + random.nextInt(64), boot()), random.nextInt(65_536)));
    return List.of(
        new Message.Renew(boot(), number(), number(), list(50, largest, this::number)),
        new Message.Grant(boot(), number(), largest, list(largest ? 3 : 50, largest, () -> purge)),
        new Message.Accept(purge, random.nextInt(999), claims),
        new Message.Accepted(number(), random.nextInt(99), number(), page, leases),
        new Message.Refused(number(), Reason.KEY_USED, id()),
        new Message.Refused(number(), Reason.FULL, null),
        new Message.Apply(purge),
        new Message.Applied(number(), boot()),
        new Message.Done(purge, claims, result),
        new Message.DoneAck(number()),
        new Message.StatusQuery(number(), id()),
        new Message.StatusReply(number(), id(), State.DONE, scope, random.nextInt(), result),
        new Message.StatusReply(number(), id(), State.OPEN, scope, random.nextInt(), null),
        new Message.StatusReply(number(), id(), State.UNKNOWN, null, 0, null));
  }

  private <T> List<T> list(int size, boolean largest, Supplier<T> element) {
    return Stream.generate(element).limit(largest ? size : random.nextInt(4)).toList();
  }

  private long number() {
    return random.nextLong() & Long.MAX_VALUE;
  }

  private long boot() {
    return random.nextLong(1, 1L << 32);
  }

  private PurgeId id() {
    return new PurgeId(random.nextLong(), random.nextLong());
  }
}
