package elmsail.gateway.frontend;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/** Parts of requests that a client wrote behind the present one, and when each of them came. */
final class PipelinedRequestQueue {
  /**
   * So many are read, then no more: a client that leaves is seen to leave only as long as its
   * connection is read.
   */
  private static final int MAX_ENTRIES = 64;

  /** Likewise of the bytes of bodies in them. */
  private static final int MAX_BODY_BYTES = 64 * 1024;

  /** A part, which whoever polls it releases. */
  record Entry(HttpObject message, long arrivedAt) {}

  private final ArrayDeque<Entry> entries = new ArrayDeque<>();
  private int bodyBytes;

  void add(HttpObject message, long arrivedAt) {
    entries.add(new Entry(message, arrivedAt));
    bodyBytes += bytesOf(message);
  }

  /** The oldest, or null. */
  Entry poll() {
    Entry oldest = entries.poll();
    bodyBytes -= oldest == null ? 0 : bytesOf(oldest.message());
    return oldest;
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Whether no more are to be read for now. */
  boolean isFull() {
    return entries.size() >= MAX_ENTRIES || bodyBytes >= MAX_BODY_BYTES;
  }

  void releaseAll() {
    while (!entries.isEmpty()) {
      ReferenceCountUtil.release(poll().message());
    }
  }

  private static int bytesOf(HttpObject message) {
    return message instanceof HttpContent content ? content.content().readableBytes() : 0;
  }
}
