package elmsail.rpc;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which frames may be taken before and behind the hello, on both sides of a connection. */
class HandshakeTest {

  private static final String ADDRESS = "10.0.0.1:7720";
  private static final Hello ANY = new Hello(Hello.VERSION, ADDRESS, Hello.ANY_INSTANCE);
  private static final Hello SELF = new Hello(Hello.VERSION, ADDRESS, 7);
  private static final Hello OTHER_ADDRESS = new Hello(Hello.VERSION, "10.0.0.1:7721", 7);
  private static final Hello OTHER_INSTANCE = new Hello(Hello.VERSION, ADDRESS, 8);

  private static Frame frame(int kind) {
    return new Frame(kind, 1, MessageTypes.NONE, new byte[0]);
  }

  private static Frame frame(Hello hello) {
    return new Frame(Frame.HELLO, 0, MessageTypes.NONE, hello.payload());
  }

  private static ErrorCode refusal(Handshake handshake, Frame frame) {
    return assertThrows(ElmsailException.class, () -> handshake.admit(frame)).code();
  }

  @Test
  void helloIsReadAsItWasWritten() {
    assertThat(Hello.read(SELF.payload()), is(SELF));
    assertThat(Hello.read(ANY.payload()), is(ANY));
  }

  @Test
  void nothingIsTakenBeforeTheHello() {
    for (int kind : List.of(Frame.ASK, Frame.ANSWER, Frame.FAILURE, Frame.PING, Frame.PONG)) {
      assertThat(refusal(Handshake.ofCaller(ANY), frame(kind)), is(ErrorCode.GARBLED));
      assertThat(refusal(Handshake.ofAccepting(SELF), frame(kind)), is(ErrorCode.GARBLED));
    }
  }

  @Test
  void eachSideTakesOnlyItsKindsBehindTheHello() {
    Handshake caller = Handshake.ofCaller(ANY);
    caller.admit(frame(SELF));
    Handshake accepting = Handshake.ofAccepting(SELF);
    accepting.admit(frame(ANY));
    assertThat(caller.complete() && accepting.complete(), is(true));
    assertThat(caller.peerInstanceId(), is(SELF.instanceId()));
    Set<Integer> toCaller = Set.of(Frame.ANSWER, Frame.FAILURE, Frame.PONG);
    for (int kind = Frame.ASK; kind <= Frame.PONG; kind++) {
      Handshake takes = toCaller.contains(kind) ? caller : accepting;
      Handshake refuses = toCaller.contains(kind) ? accepting : caller;
      takes.admit(frame(kind));
      assertThat(refusal(refuses, frame(kind)), is(ErrorCode.GARBLED));
    }
    assertThat("a second one", refusal(caller, frame(SELF)), is(ErrorCode.GARBLED));
    assertThat("a second one", refusal(accepting, frame(ANY)), is(ErrorCode.GARBLED));
  }

  @Test
  void anotherProcessOrInstanceThanTheOneMeantIsRefusedByBothSides() {
    assertThat(refusal(Handshake.ofCaller(ANY), frame(OTHER_ADDRESS)), is(ErrorCode.MISDIRECTED));
    assertThat(refusal(Handshake.ofCaller(SELF), frame(OTHER_INSTANCE)), is(ErrorCode.MISDIRECTED));
    assertThat(
        refusal(Handshake.ofAccepting(SELF), frame(OTHER_ADDRESS)), is(ErrorCode.MISDIRECTED));
    assertThat(
        refusal(Handshake.ofAccepting(SELF), frame(OTHER_INSTANCE)), is(ErrorCode.MISDIRECTED));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 2, 127, -1})
  void unknownVersionIsToldByItsOwnError(int version) {
    byte[] payload = SELF.payload();
    payload[0] = (byte) version;
    Frame hello = new Frame(Frame.HELLO, 0, MessageTypes.NONE, payload);
    assertThat(refusal(Handshake.ofCaller(ANY), hello), is(ErrorCode.UNSUPPORTED_VERSION));
    assertThat(refusal(Handshake.ofAccepting(SELF), hello), is(ErrorCode.UNSUPPORTED_VERSION));
  }

  @Test
  void hellosOfAnyOtherLengthAreGarbled() {
    for (int length : new int[] {0, 1, 9, 10 + 64, 300}) {
      byte[] payload = new byte[length];
      if (length > 0) {
        payload[0] = Hello.VERSION;
      }
      Frame hello = new Frame(Frame.HELLO, 0, MessageTypes.NONE, payload);
      assertThat("" + length, refusal(Handshake.ofCaller(ANY), hello), is(ErrorCode.GARBLED));
    }
  }
}
