package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;

/**
 * The state of one connection's handshake, as a state machine without I/O: it begins incomplete,
 * becomes complete with the peer's hello, and then accepts only the kinds of frame that belong to
 * this direction.
 *
 * <p>The client does not wait for the server's hello before it sends requests, so opening a
 * connection costs no extra round trip; but it accepts no response before that hello. The server
 * executes nothing before it has checked that it is the intended process.
 */
final class Handshake {

  private final boolean client;

  /** On the client the process that it intends to call, on the server this process. */
  private final HandshakeHello localHello;

  private boolean isComplete;
  private long peerInstanceId;

  private Handshake(boolean client, HandshakeHello localHello) {
    this.client = client;
    this.localHello = localHello;
  }

  /** For the side that opened the connection. */
  static Handshake forClient(HandshakeHello intended) {
    return new Handshake(true, intended);
  }

  /** For the side that accepted the connection. */
  static Handshake forServer(HandshakeHello localHello) {
    return new Handshake(false, localHello);
  }

  /** The hello that this side sends. */
  HandshakeHello localHello() {
    return localHello;
  }

  /** Whether the peer's hello was received and names the intended process. */
  boolean isComplete() {
    return isComplete;
  }

  /** The instance id of the process called; meaningful once the handshake is complete. */
  long peerInstanceId() {
    return peerInstanceId;
  }

  /**
   * Checks that a frame may be accepted in the present state, and follows the state.
   *
   * @throws ElmsailException with MISDIRECTED if the process called is not the intended one,
   *     UNSUPPORTED_VERSION if it speaks another protocol version, MALFORMED for a frame that is
   *     not allowed now
   */
  void onFrame(Frame frame) {
    if (!isComplete) {
      if (frame.kind() != Frame.HELLO) {
        throw new ElmsailException(
            ErrorCode.MALFORMED, "expected a hello, received a frame of kind " + frame.kind());
      }
      checkHello(HandshakeHello.fromPayload(frame.payload()));
      isComplete = true;
    } else if (!isAllowedKind(frame.kind())) {
      throw new ElmsailException(
          ErrorCode.MALFORMED,
          "a frame of kind " + frame.kind() + " does not belong to this direction");
    }
  }

  private void checkHello(HandshakeHello remoteHello) {
    HandshakeHello intended = client ? localHello : remoteHello;
    HandshakeHello actual = client ? remoteHello : localHello;
    if (!actual.matches(intended)) {
      throw new ElmsailException(
          ErrorCode.MISDIRECTED,
          "expected process "
              + intended.address()
              + " instance "
              + intended.instanceId()
              + ", found "
              + actual.address()
              + " instance "
              + actual.instanceId());
    }
    peerInstanceId = actual.instanceId();
  }

  private boolean isAllowedKind(int kind) {
    return client
        ? kind == Frame.RESPONSE || kind == Frame.FAILURE || kind == Frame.PONG
        : kind == Frame.REQUEST || kind == Frame.PING;
  }
}
