package elmsail.gateway.requests;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits a stream of server-sent events ({@code text/event-stream}, WHATWG HTML) into events
 * without changing any byte. An event ends with an empty line; lines end with LF, CR LF, or a CR
 * that is not the last byte received so far. Owned by one event loop.
 */
final class ServerSentEventSplitter {
  /** An event with more bytes is rejected as malformed. */
  static final int MAX_EVENT_BYTES = 1 << 20;

  /** Receives the complete events. */
  interface Sink {
    /**
     * Called for each event.
     *
     * @param id the number in the event's {@code id} line, or -1 if there is none
     * @param raw all bytes of the event with its empty line; released by the sink
     * @return false to receive no more events
     */
    boolean onEvent(long id, ByteBuf raw);
  }

  private final Sink sink;
  private ByteBuf remainder = Unpooled.EMPTY_BUFFER;

  ServerSentEventSplitter(Sink sink) {
    this.sink = sink;
  }

  /**
   * Receives and releases bytes of the stream.
   *
   * @return false if an event is too long or the sink has returned false
   */
  boolean feed(ByteBuf bytes) {
    ByteBuf all;
    if (remainder.isReadable()) {
      all = Unpooled.buffer(remainder.readableBytes() + bytes.readableBytes());
      all.writeBytes(remainder).writeBytes(bytes);
      remainder.release();
      bytes.release();
    } else {
      all = bytes;
    }
    remainder = Unpooled.EMPTY_BUFFER;
    try {
      int end = findEventEnd(all);
      while (end >= 0) {
        ByteBuf raw = all.readRetainedSlice(end - all.readerIndex());
        if (!sink.onEvent(parseId(raw), raw)) {
          return false;
        }
        end = findEventEnd(all);
      }
      if (all.readableBytes() > MAX_EVENT_BYTES) {
        return false;
      }
      remainder = all.isReadable() ? Unpooled.copiedBuffer(all) : Unpooled.EMPTY_BUFFER;
      return true;
    } finally {
      all.release();
    }
  }

  /** Whether bytes of an incomplete event were received. */
  boolean hasPartialEvent() {
    return remainder.isReadable();
  }

  /** Releases the bytes of an incomplete event. */
  void discard() {
    remainder.release();
    remainder = Unpooled.EMPTY_BUFFER;
  }

  /** The index after the first event, or -1 if the event is incomplete. */
  private static int findEventEnd(ByteBuf in) {
    boolean lineStarted = false;
    int to = in.writerIndex();
    for (int i = in.readerIndex(); i < to; i++) {
      byte character = in.getByte(i);
      if (character != '\n' && character != '\r') {
        lineStarted = true;
        continue;
      }
      int next = i + 1;
      if (character == '\r') {
        if (next == to) {
          return -1; // a line feed may follow
        }
        if (in.getByte(next) == '\n') {
          next++;
        }
      }
      if (!lineStarted) {
        return next;
      }
      lineStarted = false;
      i = next - 1;
    }
    return -1;
  }

  private static long parseId(ByteBuf raw) {
    long id = -1;
    int at = raw.readerIndex();
    int to = raw.writerIndex();
    while (at < to) {
      int end = findLineEnd(raw, at);
      if (end - at > 3
          && raw.getByte(at) == 'i'
          && raw.getByte(at + 1) == 'd'
          && raw.getByte(at + 2) == ':') {
        id = parseNumber(raw, at + 3, end);
      }
      at = end + 1;
    }
    return id;
  }

  private static long parseNumber(ByteBuf raw, int from, int to) {
    long value = -1;
    for (int i = from; i < to; i++) {
      int digit = raw.getByte(i) - '0';
      if (digit >= 0 && digit <= 9 && value < Long.MAX_VALUE / 20) {
        value = Math.max(0, value) * 10 + digit;
      } else if (raw.getByte(i) != ' ') {
        return -1;
      }
    }
    return value;
  }

  private static int findLineEnd(ByteBuf raw, int from) {
    int at = from;
    while (at < raw.writerIndex() && raw.getByte(at) != '\n' && raw.getByte(at) != '\r') {
      at++;
    }
    return at;
  }

  /**
   * The values of an event's {@code data} lines, joined by line feeds; null if it has no such line.
   */
  static byte[] data(ByteBuf raw) {
    byte[] joined = new byte[raw.readableBytes()];
    int length = 0;
    boolean any = false;
    int at = raw.readerIndex();
    while (at < raw.writerIndex()) {
      int end = findLineEnd(raw, at);
      int from = dataValueStart(raw, at, end);
      if (from >= 0) {
        if (any) {
          joined[length++] = '\n';
        }
        any = true;
        raw.getBytes(from, joined, length, end - from);
        length += end - from;
      }
      at = end + 1;
    }
    return any ? java.util.Arrays.copyOf(joined, length) : null;
  }

  /** The index of the value of a {@code data} line, or -1 for other lines. */
  private static int dataValueStart(ByteBuf raw, int at, int end) {
    String name = "data";
    if (end - at < name.length()) {
      return -1;
    }
    for (int i = 0; i < name.length(); i++) {
      if (raw.getByte(at + i) != name.charAt(i)) {
        return -1;
      }
    }
    int from = at + name.length();
    if (from == end) {
      return end;
    }
    if (raw.getByte(from) != ':') {
      return -1;
    }
    from++;
    return from < end && raw.getByte(from) == ' ' ? from + 1 : from;
  }
}
