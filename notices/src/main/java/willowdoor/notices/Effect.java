package willowdoor.notices;

/** What a front door's notices want done. */
public sealed interface Effect {
  /** Open a link to that front door; {@link NoticesService#linkUp} tells when it stands. */
  record Connect(int peer) implements Effect {}

  /** End the link to it. */
  record Disconnect(int peer) implements Effect {}

  /**
   * {@link PeerMessage.Reply} goes on the link that the peer opened, all else on the one opened to
   * it.
   */
  record Send(int peer, PeerMessage message) implements Effect {}

  /**
   * Write to a reader; bytes shared with other readers. {@link NoticesService#taken} tells what its
   * socket took.
   */
  record Write(long reader, byte[] bytes) implements Effect {}

  /** End the reader's answer once all is written, at the latest 2 s from now. */
  record Close(long reader, String reason) implements Effect {}

  /** Answer a POST. */
  record Answer(long call, int status, String id, String text) implements Effect {}
}
