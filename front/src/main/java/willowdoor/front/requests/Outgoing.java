package willowdoor.front.requests;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/**
 * A request on its way to a backend: its head and the first bytes of its body, which can be sent
 * again, and the rest, which passes by once, piece by piece as the backend takes it. Owned by the
 * table of requests.
 */
public final class Outgoing {

  /** Where the pieces behind the prefix go. */
  public interface Sink {
    /** Takes a piece over, and asks for the next one once there is room. */
    void piece(HttpContent piece);
  }

  /** Bytes of a body: ten segments of 1,460 bytes, less room for the head. */
  private static final int FIRST_FLIGHT = 8_000;

  private final HttpMethod method;
  private final String uri;
  private final HttpHeaders headers;
  private final ByteBuf prefix;
  private final boolean whole;
  private final Runnable more;
  private Sink sink;

  /** A piece that was asked for by an attempt which ended before it came. */
  private HttpContent waiting;

  private boolean released;

  /**
   * Takes the prefix over; more asks the client for the next piece, where the prefix is not all.
   */
  public Outgoing(
      HttpMethod method,
      String uri,
      HttpHeaders headers,
      ByteBuf prefix,
      boolean whole,
      Runnable more) {
    this.method = method;
    this.uri = uri;
    this.headers = headers;
    this.prefix = prefix;
    this.whole = whole;
    this.more = more;
  }

  public boolean whole() {
    return whole;
  }

  int held() {
    return prefix.readableBytes();
  }

  /**
   * Whether TCP sends all of it at once on a connection on which nothing else is under way: that is
   * ten segments (RFC 6928). More waits for the other side, and goes out behind a close too,
   * whenever that reads.
   */
  public boolean leavesAtOnce() {
    return whole && prefix.readableBytes() <= FIRST_FLIGHT;
  }

  /** The head alone, or with the body where that is whole; it tells no more time than there is. */
  public HttpRequest message(double leftMs) {
    HttpHeaders copy =
        headers.copy().set(Headers.TIMEOUT_MS, Long.toString((long) Math.max(1, leftMs)));
    return whole
        ? new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            method,
            uri,
            prefix.retainedDuplicate(),
            copy,
            EmptyHttpHeaders.INSTANCE)
        : new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, uri, copy);
  }

  public ByteBuf prefix() {
    return prefix.retainedDuplicate();
  }

  /** Lets the rest pass to the sink from now on. */
  public void passTo(Sink taker) {
    sink = taker;
    if (waiting != null) {
      HttpContent piece = waiting;
      waiting = null;
      pass(piece);
    } else {
      more.run();
    }
  }

  public void detach(Sink taker) {
    if (sink == taker) {
      sink = null;
    }
  }

  public boolean passesTo(Sink taker) {
    return sink == taker;
  }

  public void wantMore() {
    more.run();
  }

  /** A piece from the client, which is taken over. */
  public void pass(HttpContent piece) {
    if (released) {
      piece.release();
    } else if (sink == null) {
      waiting = piece;
    } else {
      sink.piece(piece);
    }
  }

  void release() {
    released = true;
    prefix.release();
    if (waiting != null) {
      waiting.release();
      waiting = null;
    }
  }

  /** Tells how long the body is, as its client told. */
  public static void frame(
      HttpHeaders onward, HttpHeaders told, boolean whole, int length, boolean mayHaveBody) {
    if (whole) {
      if (length > 0 || mayHaveBody) {
        onward.set(HttpHeaderNames.CONTENT_LENGTH, length);
      }
    } else if (told.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      onward.set(HttpHeaderNames.CONTENT_LENGTH, told.get(HttpHeaderNames.CONTENT_LENGTH));
    } else {
      onward.set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
    }
  }
}
