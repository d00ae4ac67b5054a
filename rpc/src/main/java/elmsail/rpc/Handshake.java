package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;

/**
 * Decides which frames may be taken on one connection: the hello first, once, and from the right
 * process; then only the kinds that this direction carries. Pure: it knows no socket and no clock.
 *
 * <p>The caller does not wait for the other side's hello before it sends its calls, so opening a
 * connection costs no extra round trip; but it takes no answer before it. The accepting side runs
 * nothing before it has checked that it is the process meant.
 */
final class Handshake {

  private final boolean client;

  /** On the caller's side the process that it means to call, otherwise this process. */
  private final HandshakeHello localHello;

  private boolean isComplete;
  private long peerInstanceId;

  private Handshake(boolean caller, HandshakeHello called) {
    this.client = caller;
    this.localHello = called;
  }

  /** For the side that opened the connection to {@code meant}. */
  static Handshake forClient(HandshakeHello intended) {
    return new Handshake(true, intended);
  }

  /** For the side that accepted it and is {@code self}. */
  static Handshake forServer(HandshakeHello localHello) {
    return new Handshake(false, localHello);
  }

  /** What this side says first. */
  HandshakeHello localHello() {
    return localHello;
  }

  /** Whether the other side's hello has come and was right. */
  boolean isComplete() {
    return isComplete;
  }

  /** The instance that answers, known to the caller once the handshake is complete. */
  long peerInstanceId() {
    return peerInstanceId;
  }

  /**
   * Passes a frame that may be taken now.
   *
   * @throws ElmsailException with MISDIRECTED if the process called is not the one meant,
   *     UNSUPPORTED_VERSION if it speaks another protocol version, GARBLED for a frame that is out
   *     of place
   */
  void onFrame(Frame frame) {
    if (!isComplete) {
      if (frame.kind() != Frame.HELLO) {
        throw new ElmsailException(
            ErrorCode.MALFORMED, "frame of kind " + frame.kind() + " before the hello");
      }
      checkHello(HandshakeHello.fromPayload(frame.payload()));
      isComplete = true;
    } else if (!isAllowedKind(frame.kind())) {
      throw new ElmsailException(
          ErrorCode.MALFORMED, "frame of kind " + frame.kind() + " in the wrong direction");
    }
  }

  private void checkHello(HandshakeHello remoteHello) {
    HandshakeHello intended = client ? localHello : remoteHello;
    HandshakeHello actual = client ? remoteHello : localHello;
    if (!actual.matches(intended)) {
      throw new ElmsailException(
          ErrorCode.MISDIRECTED, "called " + intended.address() + ", reached " + actual.address());
    }
    peerInstanceId = actual.instanceId();
  }

  private boolean isAllowedKind(int kind) {
    return client
        ? kind == Frame.RESPONSE || kind == Frame.FAILURE || kind == Frame.PONG
        : kind == Frame.REQUEST || kind == Frame.PING;
  }
}
