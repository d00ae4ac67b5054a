package elmsail.gateway.frontend;

import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/** Parts of requests that a client wrote behind the present one, and when each of them came. */
final class WaitingParts {
  /**
   * So many are read, then no more: a client that leaves is seen to leave only as long as its
   * connection is read.
   */
  private static final int MOST = 64;

  /** A part, which whoever polls it releases. */
  record Part(HttpObject part, long arrivedMs) {}

  private final ArrayDeque<Part> parts = new ArrayDeque<>();

  void add(HttpObject part, long arrivedMs) {
    parts.add(new Part(part, arrivedMs));
  }

  /** The oldest, or null. */
  Part poll() {
    return parts.poll();
  }

  boolean isEmpty() {
    return parts.isEmpty();
  }

  /** Whether no more are to be read for now. */
  boolean full() {
    return parts.size() >= MOST;
  }

  void release() {
    while (!parts.isEmpty()) {
      ReferenceCountUtil.release(parts.poll().part());
    }
  }
}
