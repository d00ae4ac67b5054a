package elmsail.gateway.frontend;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/**
 * Parts of pipelined requests, which wait until the present one is served, with the time at which
 * each came. Owned by the connection's event loop.
 */
final class PipelinedRequestQueue {
  /**
   * At this size reading stops. Some are read ahead, since a disconnect is noticed only while the
   * connection is read.
   */
  private static final int MAX_ENTRIES = 64;

  /** The same for the bytes of bodies. */
  private static final int MAX_BODY_BYTES = 64 * 1024;

  /** A part, released by whoever polls it. */
  record Entry(HttpObject message, long arrivedAt) {}

  private final ArrayDeque<Entry> entries = new ArrayDeque<>();
  private int bodyBytes;

  void add(HttpObject message, long arrivedAt) {
    entries.add(new Entry(message, arrivedAt));
    bodyBytes += bytesOf(message);
  }

  /** Takes the oldest entry, or null. */
  Entry poll() {
    Entry oldest = entries.poll();
    bodyBytes -= oldest == null ? 0 : bytesOf(oldest.message());
    return oldest;
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Whether reading is to stop. */
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
