package willowdoor.notices;

/** An action that the {@link NoticesService} requests from its environment. */
public sealed interface Effect {
  /**
   * Opens a link to that front door; {@link NoticesService#linkUp} must be called once the link is
   * established.
   */
  record Connect(int peer) implements Effect {}

  /** Closes the link to that front door. */
  record Disconnect(int peer) implements Effect {}

  /**
   * Sends a message: a {@link PeerMessage.Reply} on the link that the peer opened, any other
   * message on the link opened to the peer.
   */
  record Send(int peer, PeerMessage message) implements Effect {}

  /**
   * Writes to a reader. The bytes are shared with other readers and must not be changed. {@link
   * NoticesService#bytesTaken} must be called with the number of bytes that the reader's socket has
   * taken.
   */
  record Write(long reader, byte[] bytes) implements Effect {}

  /** Ends the reader's response once all bytes are written, at the latest 2 s from now. */
  record Close(long reader, String reason) implements Effect {}

  /** Answers a POST. */
  record Answer(long call, int status, String id, String text) implements Effect {}
}
