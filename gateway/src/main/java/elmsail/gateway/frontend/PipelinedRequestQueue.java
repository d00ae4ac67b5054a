package elmsail.gateway.frontend;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/**
 * Queue of the parts of pipelined requests, with the arrival time of each part. The parts wait
 * until the current request has been served. Owned by the connection's event loop.
 */
final class PipelinedRequestQueue {
  /**
   * The connection is not read while the queue has this many entries. Requests are read ahead,
   * since a disconnect is detected only while the connection is read.
   */
  private static final int MAX_ENTRIES = 64;

  /** The connection is not read while the queue holds this many bytes of bodies. */
  private static final int MAX_BODY_BYTES = 64 * 1024;

  /** A part of a request. The caller of {@link #poll} must release the message. */
  record Entry(HttpObject message, long arrivedAt) {}

  private final ArrayDeque<Entry> entries = new ArrayDeque<>();
  private int bodyBytes;

  void add(HttpObject message, long arrivedAt) {
    entries.add(new Entry(message, arrivedAt));
    bodyBytes += bytesOf(message);
  }

  /** Removes and returns the oldest entry; null if the queue is empty. */
  Entry poll() {
    Entry oldest = entries.poll();
    bodyBytes -= oldest == null ? 0 : bytesOf(oldest.message());
    return oldest;
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Whether the connection must not be read any further. */
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
