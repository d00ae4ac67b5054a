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

/** Frames come whole out of any pieces, and a bent one is never taken for one. */
class FrameTest {

  private final Codec codec = new Codec();

  private byte[] request(long call, int bytes) {
    OpaqueMessage note = new OpaqueMessage();
    note.kind = "k";
    note.bytes = new byte[bytes];
    return bytes(Frame.message(codec, Frame.ASK, call, note));
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
            ElmsailException.class, () -> new FrameReader().next(Unpooled.wrappedBuffer(bytes)));
    return e.code();
  }

  @Test
  void framesComeOutOfAnyPieces() {
    Random random = new Random(4);
    for (int round = 0; round < 200; round++) {
      ByteBuf all = Unpooled.buffer();
      int many = 1 + random.nextInt(6);
      for (int i = 0; i < many; i++) {
        boolean ping = random.nextInt(4) == 0;
        all.writeBytes(ping ? bytes(Frame.bare(Frame.PING, i)) : request(i, random.nextInt(99)));
      }
      FrameReader reader = new FrameReader();
      List<Long> calls = new ArrayList<>();
      while (all.isReadable()) {
        ByteBuf piece = all.readSlice(Math.min(all.readableBytes(), 1 + random.nextInt(60)));
        Frame frame = reader.next(piece);
        while (frame != null) {
          calls.add(frame.call());
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
  void everyBitOfAFrameIsGuarded() {
    byte[] good = request(77, 20);
    for (int bit = 0; bit < 8 * good.length; bit++) {
      byte[] bent = good.clone();
      bent[bit / 8] ^= (byte) (1 << bit % 8);
      Frame frame;
      try {
        frame = new FrameReader().next(Unpooled.wrappedBuffer(bent));
      } catch (ElmsailException e) {
        assertThat(e.code(), is(ErrorCode.GARBLED));
        continue;
      }
      assertThat("bit " + bit + ": a longer one still waits", frame, is(nullValue()));
      assertThat(bit, is(lessThan(8 * Frame.LENGTH_BYTES)));
    }
  }

  @Test
  void lengthsOutOfBoundsAreGarbledBeforeAnythingIsKept() {
    for (int length :
        new int[] {-1, 0, Frame.HEAD_BYTES - 1, Frame.MOST_BYTES + 1, Integer.MAX_VALUE}) {
      ByteBuf bent = Unpooled.wrappedBuffer(request(1, 3));
      bent.setInt(0, length);
      assertThat(codeOf(bytes(bent)), is(ErrorCode.GARBLED));
    }
  }

  @Test
  void unknownKindsOfFrameAreGarbled() {
    for (int kind : new int[] {0, 7, -1}) {
      assertThat(codeOf(bytes(Frame.bare(kind, 1))), is(ErrorCode.GARBLED));
    }
  }

  @Test
  void longestMessageFitsAndALongerOneIsFull() {
    int over = request(1, 1 << 20).length - (1 << 20);
    int most = Frame.LENGTH_BYTES + Frame.MOST_BYTES - over;
    byte[] longest = request(1, most - 8);
    Frame frame = new FrameReader().next(Unpooled.wrappedBuffer(longest));
    OpaqueMessage note =
        (OpaqueMessage) codec.read(frame.type(), frame.payload(), 0, frame.payload().length);
    assertThat(note.bytes.length, is(most - 8));
    ElmsailException e = assertThrows(ElmsailException.class, () -> request(1, most + 8));
    assertThat(e.code(), is(ErrorCode.FULL));
  }

  @Test
  void failuresCarryTheirCodeAndUnknownOnesAreFaults() {
    for (ErrorCode code : ErrorCode.values()) {
      Frame frame = new FrameReader().next(Unpooled.wrappedBuffer(bytes(Frame.failure(9, code))));
      assertThat(frame.kind(), is(Frame.FAILURE));
      assertThat(frame.call(), is(9L));
      assertThat(frame.code(), is(code));
    }
    assertThat(new Frame(Frame.FAILURE, 1, 0, new byte[] {'?'}).code(), equalTo(ErrorCode.FAULT));
  }
}
