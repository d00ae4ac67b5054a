package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;

/**
 * Decides which frames are valid on one connection: first one hello from the intended process, then
 * only the kinds of this direction. Pure: it uses no socket and no clock.
 *
 * <p>The client does not wait for the server's hello before it sends requests, so a connection
 * costs no extra round trip; but it accepts no response before it. The server executes nothing
 * before it has checked that it is the intended process.
 */
final class Handshake {

  private final boolean client;

  /** On the client side the process that it intends to call, on the server side this process. */
  private final HandshakeHello localHello;

  private boolean isComplete;
  private long peerInstanceId;

  private Handshake(boolean client, HandshakeHello localHello) {
    this.client = client;
    this.localHello = localHello;
  }

  /** For the side that opened the connection to {@code intended}. */
  static Handshake forClient(HandshakeHello intended) {
    return new Handshake(true, intended);
  }

  /** For the side that accepted the connection. */
  static Handshake forServer(HandshakeHello localHello) {
    return new Handshake(false, localHello);
  }

  /** The hello that this side sends first. */
  HandshakeHello localHello() {
    return localHello;
  }

  /** Whether the other side's hello was received and is valid. */
  boolean isComplete() {
    return isComplete;
  }

  /** The server's instance, known to the client once the handshake is complete. */
  long peerInstanceId() {
    return peerInstanceId;
  }

  /**
   * Checks a received frame.
   *
   * @throws ElmsailException {@code MISDIRECTED} if the called process is not the intended one,
   *     {@code UNSUPPORTED_VERSION} if it speaks another protocol version, {@code MALFORMED} for a
   *     frame of a kind that is not valid now
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
