package elmsail.gateway.servers;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A socket channel that can tell whether anything has arrived that the event loop has not read yet.
 * To be called on that loop.
 */
public final class IdleCheckSocketChannel extends NioSocketChannel {
  private static final ByteBuffer PROBE_BUFFER = ByteBuffer.allocateDirect(1);

  /**
   * Whether the connection is open and has neither unread bytes nor an unread end. A byte read by
   * this check is lost: where the result is false, the connection must be closed.
   */
  boolean hasNothingUnread() {
    if (!isActive()) {
      return false;
    }
    try {
      PROBE_BUFFER.clear();
      return javaChannel().read(PROBE_BUFFER) == 0;
    } catch (IOException e) {
      return false;
    }
  }
}
