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

  private final boolean caller;

  /** On the caller's side the process that it means to call, otherwise this process. */
  private final Hello called;

  private boolean complete;
  private long peerInstanceId;

  private Handshake(boolean caller, Hello called) {
    this.caller = caller;
    this.called = called;
  }

  /** For the side that opened the connection to {@code meant}. */
  static Handshake ofCaller(Hello meant) {
    return new Handshake(true, meant);
  }

  /** For the side that accepted it and is {@code self}. */
  static Handshake ofAccepting(Hello self) {
    return new Handshake(false, self);
  }

  /** What this side says first. */
  Hello own() {
    return called;
  }

  /** Whether the other side's hello has come and was right. */
  boolean complete() {
    return complete;
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
  void admit(Frame frame) {
    if (!complete) {
      if (frame.kind() != Frame.HELLO) {
        throw new ElmsailException(
            ErrorCode.GARBLED, "frame of kind " + frame.kind() + " before the hello");
      }
      check(Hello.read(frame.payload()));
      complete = true;
    } else if (!carries(frame.kind())) {
      throw new ElmsailException(
          ErrorCode.GARBLED, "frame of kind " + frame.kind() + " in the wrong direction");
    }
  }

  private void check(Hello other) {
    Hello meant = caller ? called : other;
    Hello answering = caller ? other : called;
    if (!answering.isMeantBy(meant)) {
      throw new ElmsailException(
          ErrorCode.MISDIRECTED, "called " + meant.address() + ", reached " + answering.address());
    }
    peerInstanceId = answering.instanceId();
  }

  private boolean carries(int kind) {
    return caller
        ? kind == Frame.ANSWER || kind == Frame.FAILURE || kind == Frame.PONG
        : kind == Frame.ASK || kind == Frame.PING;
  }
}
