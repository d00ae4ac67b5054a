package elmsail.rpc;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;

import elmsail.rpc.messages.LoadReport;
import elmsail.rpc.messages.PullResponse;
import elmsail.rpc.messages.VoteResponse;
import elmsail.runtime.ErrorCode;
import io.netty.buffer.Unpooled;
import io.protostuff.Schema;
import io.protostuff.Tag;
import io.protostuff.runtime.RuntimeSchema;
import java.io.IOException;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** What goes over the wire stays as processes of earlier versions send and read it. */
class PinnedWireTest {

  private static final int LOAD_REPORT = 27;

  @Test
  void everyMessageTypeHasItsLine() throws IOException {
    List<Integer> numbers =
        PinnedWire.pinned(PinnedWire.MESSAGES).stream().map(PinnedWire.Line::number).toList();
    assertThat(numbers, equalTo(IntStream.range(1, MessageTypes.size()).boxed().toList()));
  }

  @Test
  void everyFieldSaysItsNumber() {
    for (int number = 1; number < MessageTypes.size(); number++) {
      Class<?> type = MessageTypes.typeOf(number);
      int fields = 0;
      for (Field field : type.getDeclaredFields()) {
        if (Modifier.isStatic(field.getModifiers())) {
          continue;
        }
        fields++;
        assertThat(field.toString(), field.getAnnotation(Tag.class), is(notNullValue()));
      }
      assertThat(
          type.getSimpleName() + " numbers its fields from 1 on without a gap",
          List.copyOf(FilledMessages.fieldsByNumber(type).keySet()),
          equalTo(IntStream.rangeClosed(1, fields).boxed().toList()));
    }
  }

  /** The schema that the codec uses gives each field the number that the fixture assumes. */
  @Test
  void schemaHasTheSameNumbers() {
    for (int number = 1; number < MessageTypes.size(); number++) {
      Schema<?> schema = RuntimeSchema.getSchema(MessageTypes.typeOf(number));
      FilledMessages.fieldsByNumber(MessageTypes.typeOf(number))
          .forEach(
              (of, field) ->
                  assertThat(field.toString(), schema.getFieldNumber(field.getName()), is(of)));
    }
  }

  @Test
  void filledMessagesAreWrittenAsPinned() throws IOException, ReflectiveOperationException {
    for (PinnedWire.Line line : PinnedWire.pinned(PinnedWire.MESSAGES)) {
      Object message = FilledMessages.filled(MessageTypes.typeOf(line.number()));
      assertThat(line.name(), PinnedWire.encoded(line.number(), message), equalTo(line.bytes()));
    }
  }

  @Test
  void pinnedMessagesAreReadWhole() throws IOException {
    MessageCodec codec = new MessageCodec();
    for (PinnedWire.Line line : PinnedWire.pinned(PinnedWire.MESSAGES)) {
      Object message = codec.read(line.number(), line.bytes(), 0, line.bytes().length);
      assertThat(
          line.name(), message.getClass(), equalTo((Object) MessageTypes.typeOf(line.number())));
      assertThat(line.name(), PinnedWire.encoded(line.number(), message), equalTo(line.bytes()));
    }
  }

  @Test
  void messagesOfEarlierVersionsAreReadAndOnlyAppendedTo() throws IOException {
    MessageCodec codec = new MessageCodec();
    List<PinnedWire.Line> current = PinnedWire.pinned(PinnedWire.MESSAGES);
    for (PinnedWire.Line line : PinnedWire.pinned(PinnedWire.MESSAGES_WITH_FEWER_FIELDS)) {
      byte[] present = current.get(line.number() - 1).bytes();
      assertThat(present.length, greaterThan(line.bytes().length));
      assertThat(line.name(), Arrays.copyOf(present, line.bytes().length), equalTo(line.bytes()));
      Object message = codec.read(line.number(), line.bytes(), 0, line.bytes().length);
      byte[] rewritten = PinnedWire.encoded(line.number(), message);
      assertThat(line.name(), Arrays.copyOf(rewritten, line.bytes().length), equalTo(line.bytes()));
    }
  }

  /** A response of a version that says nothing of the configuration's age confirms nothing. */
  @Test
  void pullResponseOfAnEarlierVersionHasNoConfirmation() throws IOException {
    byte[] bytes = PinnedWire.pinned(PinnedWire.MESSAGES_WITH_FEWER_FIELDS).get(0).bytes();
    int number = MessageTypes.numberOf(PullResponse.class);
    PullResponse response = (PullResponse) new MessageCodec().read(number, bytes, 0, bytes.length);
    assertThat(response.configConfirmedAgeMs, is(-1L));
  }

  @Test
  void datagramsBeginWithTheNumberInOneByte() throws IOException, ReflectiveOperationException {
    PinnedWire.Line line = PinnedWire.pinned(PinnedWire.MESSAGES).get(LOAD_REPORT - 1);
    Object report = FilledMessages.filled(LoadReport.class);
    byte[] datagram = new MessageCodec().toDatagram(report);
    assertThat(line.number(), is(LOAD_REPORT));
    assertThat(datagram[0], is((byte) LOAD_REPORT));
    assertThat(Arrays.copyOfRange(datagram, 1, datagram.length), equalTo(line.bytes()));
  }

  @Test
  void framesAreWrittenAsPinned() throws IOException {
    List<String> pinned =
        PinnedWire.pinned(PinnedWire.FRAMES).stream().map(PinnedWire.Line::format).toList();
    assertThat(PinnedWire.frames().stream().map(PinnedWire.Line::format).toList(), is(pinned));
  }

  @Test
  void pinnedFramesAreRead() throws IOException {
    List<Integer> kinds = new ArrayList<>();
    List<ErrorCode> codes = new ArrayList<>();
    for (PinnedWire.Line line : PinnedWire.pinned(PinnedWire.FRAMES)) {
      Frame frame = new FrameDecoder().next(Unpooled.wrappedBuffer(line.bytes()));
      kinds.add(frame.kind());
      if (frame.kind() == Frame.FAILURE) {
        codes.add(frame.errorCode());
      }
    }
    assertThat(kinds.subList(0, 6), contains(1, 2, 4, 5, 6, 6));
    assertThat(codes, contains(ErrorCode.values()));
  }

  @Test
  void failuresCarryTheseNames() {
    assertThat(
        Arrays.stream(ErrorCode.values()).map(ErrorCode::wireName).toList(),
        contains(
            "BAD_SETTINGS",
            "BAD_CALL",
            "UNSENT",
            "BROKEN",
            "SILENT",
            "FULL",
            "NOT_SEATED",
            "NOT_REACHED",
            "UNCLEAR",
            "LOST_RACE",
            "DISK",
            "GARBLED",
            "MISDIRECTED",
            "UNSUPPORTED_VERSION",
            "FAULT"));
  }

  @Test
  void numbersWithAMeaningStandInThisOrder() throws IllegalAccessException {
    assertThat(constants(VoteResponse.class), contains(0, 1, 2, 3, 4));
    assertThat(constants(LoadReport.class), contains(0, 1, 2));
    assertThat(List.of(HandshakeHello.VERSION, (int) HandshakeHello.ANY_INSTANCE), contains(1, 0));
  }

  /** The values of a message class's constants in the order of their declaration. */
  private static List<Integer> constants(Class<?> type) throws IllegalAccessException {
    List<Integer> values = new ArrayList<>();
    for (Field field : type.getDeclaredFields()) {
      if (Modifier.isStatic(field.getModifiers()) && field.getType() == int.class) {
        values.add(field.getInt(null));
      }
    }
    return values;
  }
}
