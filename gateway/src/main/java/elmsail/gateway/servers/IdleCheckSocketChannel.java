package elmsail.gateway.servers;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A connection that can be looked at between two rounds of the loop. */
public final class IdleCheckSocketChannel extends NioSocketChannel {
  private static final ByteBuffer PROBE_BUFFER = ByteBuffer.allocateDirect(1);

  /**
   * Whether it is open and neither bytes nor an end have come that the loop has not read yet. What
   * is read here is lost, so where this is false the connection is to be closed.
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
