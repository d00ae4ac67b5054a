package elmsail.rpc;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.rpc.messages.OpaqueMessage;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Frames are decoded from any fragments, and a corrupt one is never accepted. */
class FrameTest {

  private final MessageCodec codec = new MessageCodec();

  private byte[] request(long call, int bytes) {
    OpaqueMessage message = new OpaqueMessage();
    message.kind = "k";
    message.bytes = new byte[bytes];
    return bytes(Frame.message(codec, Frame.REQUEST, call, message));
  }

  private static byte[] bytes(ByteBuf frame) {
    byte[] bytes = new byte[frame.readableBytes()];
    frame.readBytes(bytes);
    frame.release();
    return bytes;
  }

  private static ErrorCode codeOf(byte[] bytes) {
    ElmsailException e =
        assertThrows(
            ElmsailException.class, () -> new FrameDecoder().next(Unpooled.wrappedBuffer(bytes)));
    return e.code();
  }

  @Test
  void framesAreDecodedFromAnyFragments() {
    Random random = new Random(4);
    for (int round = 0; round < 200; round++) {
      ByteBuf all = Unpooled.buffer();
      int many = 1 + random.nextInt(6);
      for (int i = 0; i < many; i++) {
        boolean ping = random.nextInt(4) == 0;
        all.writeBytes(
            ping ? bytes(Frame.withoutPayload(Frame.PING, i)) : request(i, random.nextInt(99)));
      }
      FrameDecoder reader = new FrameDecoder();
      List<Long> calls = new ArrayList<>();
      while (all.isReadable()) {
        ByteBuf piece = all.readSlice(Math.min(all.readableBytes(), 1 + random.nextInt(60)));
        Frame frame = reader.next(piece);
        while (frame != null) {
          calls.add(frame.callId());
          frame = reader.next(piece);
        }
      }
      assertThat(calls.size(), is(many));
      for (int i = 0; i < many; i++) {
        assertThat(calls.get(i), is((long) i));
      }
    }
  }

  @Test
  void everyFlippedBitIsDetected() {
    byte[] good = request(77, 20);
    for (int bit = 0; bit < 8 * good.length; bit++) {
      byte[] corrupt = good.clone();
      corrupt[bit / 8] ^= (byte) (1 << bit % 8);
      Frame frame;
      try {
        frame = new FrameDecoder().next(Unpooled.wrappedBuffer(corrupt));
      } catch (ElmsailException e) {
        assertThat(e.code(), is(ErrorCode.MALFORMED));
        continue;
      }
      assertThat("bit " + bit + ": a longer one still waits", frame, is(nullValue()));
      assertThat(bit, is(lessThan(8 * Frame.LENGTH_BYTES)));
    }
  }

  @Test
  void lengthsOutOfBoundsAreMalformedBeforeAnythingIsAllocated() {
    for (int length :
        new int[] {-1, 0, Frame.HEADER_BYTES - 1, Frame.MAX_BYTES + 1, Integer.MAX_VALUE}) {
      ByteBuf corrupt = Unpooled.wrappedBuffer(request(1, 3));
      corrupt.setInt(0, length);
      assertThat(codeOf(bytes(corrupt)), is(ErrorCode.MALFORMED));
    }
  }

  @Test
  void unknownFrameKindsAreMalformed() {
    for (int kind : new int[] {0, 7, -1}) {
      assertThat(codeOf(bytes(Frame.withoutPayload(kind, 1))), is(ErrorCode.MALFORMED));
    }
  }

  @Test
  void longestMessageFitsAndALongerOneIsResourceExhausted() {
    int over = request(1, 1 << 20).length - (1 << 20);
    int most = Frame.LENGTH_BYTES + Frame.MAX_BYTES - over;
    byte[] longest = request(1, most - 8);
    Frame frame = new FrameDecoder().next(Unpooled.wrappedBuffer(longest));
    OpaqueMessage message =
        (OpaqueMessage) codec.read(frame.type(), frame.payload(), 0, frame.payload().length);
    assertThat(message.bytes.length, is(most - 8));
    ElmsailException e = assertThrows(ElmsailException.class, () -> request(1, most + 8));
    assertThat(e.code(), is(ErrorCode.RESOURCE_EXHAUSTED));
  }

  @Test
  void failuresCarryTheirCodeAndUnknownOnesAreInternal() {
    for (ErrorCode code : ErrorCode.values()) {
      Frame frame = new FrameDecoder().next(Unpooled.wrappedBuffer(bytes(Frame.failure(9, code))));
      assertThat(frame.kind(), is(Frame.FAILURE));
      assertThat(frame.callId(), is(9L));
      assertThat(frame.errorCode(), is(code));
    }
    assertThat(
        new Frame(Frame.FAILURE, 1, 0, new byte[] {'?'}).errorCode(), equalTo(ErrorCode.INTERNAL));
  }
}
