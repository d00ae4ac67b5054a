package elmsail.gateway.frontend;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/** Parts of requests that a client wrote behind the present one, and when each of them came. */
final class WaitingParts {
  /**
   * So many are read, then no more: a client that leaves is seen to leave only as long as its
   * connection is read.
   */
  private static final int MOST_PARTS = 64;

  /** Likewise of the bytes of bodies in them. */
  private static final int MOST_BYTES = 64 * 1024;

  /** A part, which whoever polls it releases. */
  record Part(HttpObject part, long arrivedMs) {}

  private final ArrayDeque<Part> parts = new ArrayDeque<>();
  private int bytes;

  void add(HttpObject part, long arrivedMs) {
    parts.add(new Part(part, arrivedMs));
    bytes += bytesOf(part);
  }

  /** The oldest, or null. */
  Part poll() {
    Part oldest = parts.poll();
    bytes -= oldest == null ? 0 : bytesOf(oldest.part());
    return oldest;
  }

  boolean isEmpty() {
    return parts.isEmpty();
  }

  /** Whether no more are to be read for now. */
  boolean full() {
    return parts.size() >= MOST_PARTS || bytes >= MOST_BYTES;
  }

  void release() {
    while (!parts.isEmpty()) {
      ReferenceCountUtil.release(poll().part());
    }
  }

  private static int bytesOf(HttpObject part) {
    return part instanceof HttpContent content ? content.content().readableBytes() : 0;
  }
}
