package elmsail.rpc;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import io.netty.buffer.ByteBuf;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which frames may be taken before and behind the hello, on both sides of a connection. */
class HandshakeTest {

  private static final String ADDRESS = "10.0.0.1:7720";
  private static final HandshakeHello ANY =
      new HandshakeHello(HandshakeHello.VERSION, ADDRESS, HandshakeHello.ANY_INSTANCE);
  private static final HandshakeHello SELF = new HandshakeHello(HandshakeHello.VERSION, ADDRESS, 7);
  private static final HandshakeHello OTHER_ADDRESS =
      new HandshakeHello(HandshakeHello.VERSION, "10.0.0.1:7721", 7);
  private static final HandshakeHello OTHER_INSTANCE =
      new HandshakeHello(HandshakeHello.VERSION, ADDRESS, 8);

  private static Frame frame(int kind) {
    return new Frame(kind, 1, MessageTypes.NONE, new byte[0]);
  }

  private static Frame frame(HandshakeHello hello) {
    return new Frame(Frame.HELLO, 0, MessageTypes.NONE, hello.toPayload());
  }

  private static ErrorCode refusal(Handshake handshake, Frame frame) {
    return assertThrows(ElmsailException.class, () -> handshake.onFrame(frame)).code();
  }

  @Test
  void helloIsReadAsItWasWritten() {
    assertThat(HandshakeHello.fromPayload(SELF.toPayload()), is(SELF));
    assertThat(HandshakeHello.fromPayload(ANY.toPayload()), is(ANY));
  }

  @Test
  void helloCostsFewBytes() {
    ByteBuf frame = Frame.hello(SELF);
    assertThat(frame.readableBytes(), is(28 + ADDRESS.length()));
    frame.release();
  }

  @Test
  void noFrameIsAcceptedBeforeTheHello() {
    for (int kind : List.of(Frame.REQUEST, Frame.RESPONSE, Frame.FAILURE, Frame.PING, Frame.PONG)) {
      assertThat(refusal(Handshake.forClient(ANY), frame(kind)), is(ErrorCode.MALFORMED));
      assertThat(refusal(Handshake.forServer(SELF), frame(kind)), is(ErrorCode.MALFORMED));
    }
  }

  @Test
  void eachSideAcceptsOnlyItsOwnKindsAfterTheHello() {
    Handshake caller = Handshake.forClient(ANY);
    caller.onFrame(frame(SELF));
    Handshake accepting = Handshake.forServer(SELF);
    accepting.onFrame(frame(ANY));
    assertThat(caller.isComplete() && accepting.isComplete(), is(true));
    assertThat(caller.peerInstanceId(), is(SELF.instanceId()));
    Set<Integer> toCaller = Set.of(Frame.RESPONSE, Frame.FAILURE, Frame.PONG);
    for (int kind = Frame.REQUEST; kind <= Frame.PONG; kind++) {
      Handshake takes = toCaller.contains(kind) ? caller : accepting;
      Handshake refuses = toCaller.contains(kind) ? accepting : caller;
      takes.onFrame(frame(kind));
      assertThat(refusal(refuses, frame(kind)), is(ErrorCode.MALFORMED));
    }
    assertThat("a second one", refusal(caller, frame(SELF)), is(ErrorCode.MALFORMED));
    assertThat("a second one", refusal(accepting, frame(ANY)), is(ErrorCode.MALFORMED));
  }

  @Test
  void anotherProcessOrInstanceThanIntendedIsRejectedByBothSides() {
    assertThat(refusal(Handshake.forClient(ANY), frame(OTHER_ADDRESS)), is(ErrorCode.MISDIRECTED));
    assertThat(
        refusal(Handshake.forClient(SELF), frame(OTHER_INSTANCE)), is(ErrorCode.MISDIRECTED));
    assertThat(refusal(Handshake.forServer(SELF), frame(OTHER_ADDRESS)), is(ErrorCode.MISDIRECTED));
    assertThat(
        refusal(Handshake.forServer(SELF), frame(OTHER_INSTANCE)), is(ErrorCode.MISDIRECTED));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 2, 127, -1})
  void unknownVersionHasItsOwnErrorCode(int version) {
    byte[] payload = SELF.toPayload();
    payload[0] = (byte) version;
    Frame hello = new Frame(Frame.HELLO, 0, MessageTypes.NONE, payload);
    assertThat(refusal(Handshake.forClient(ANY), hello), is(ErrorCode.UNSUPPORTED_VERSION));
    assertThat(refusal(Handshake.forServer(SELF), hello), is(ErrorCode.UNSUPPORTED_VERSION));
  }

  @Test
  void hellosOfAnyOtherLengthAreMalformed() {
    for (int length : new int[] {0, 1, 9, 10 + 64, 300}) {
      byte[] payload = new byte[length];
      if (length > 0) {
        payload[0] = HandshakeHello.VERSION;
      }
      Frame hello = new Frame(Frame.HELLO, 0, MessageTypes.NONE, payload);
      assertThat("" + length, refusal(Handshake.forClient(ANY), hello), is(ErrorCode.MALFORMED));
    }
  }
}
