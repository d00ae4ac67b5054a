package elmsail.gateway.servers;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A socket channel that can check for received data that the event loop has not read yet. The check
 * must be called on the event loop.
 */
public final class IdleCheckSocketChannel extends NioSocketChannel {
  private static final ByteBuffer PROBE_BUFFER = ByteBuffer.allocateDirect(1);

  /**
   * Whether the connection is open and has neither unread bytes nor an unread end of stream. The
   * check may consume a byte: if the result is false, the connection must be closed.
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
