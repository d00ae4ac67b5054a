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
public final class OutgoingRequest {

  /** Where the pieces behind the prefix go. */
  public interface Sink {
    /** Takes a piece over, and asks for the next one once there is room. */
    void accept(HttpContent piece);
  }

  /** Bytes of a body: ten segments of 1,460 bytes, less room for the head. */
  private static final int INITIAL_WINDOW_BYTES = 8_000;

  private final HttpMethod method;
  private final String uri;
  private final HttpHeaders headers;
  private final ByteBuf prefix;
  private final boolean whole;
  private final Runnable requestPiece;
  private Sink sink;

  /** A piece that was asked for by an attempt which ended before it came. */
  private HttpContent heldPiece;

  private boolean released;

  /**
   * Takes the prefix over; more asks the client for the next piece, where the prefix is not all.
   */
  public OutgoingRequest(
      HttpMethod method,
      String uri,
      HttpHeaders headers,
      ByteBuf prefix,
      boolean whole,
      Runnable requestPiece) {
    this.method = method;
    this.uri = uri;
    this.headers = headers;
    this.prefix = prefix;
    this.whole = whole;
    this.requestPiece = requestPiece;
  }

  public boolean whole() {
    return whole;
  }

  int prefixBytes() {
    return prefix.readableBytes();
  }

  /**
   * Whether TCP sends all of it at once on a connection on which nothing else is under way: that is
   * ten segments (RFC 6928). More waits for the other side, and goes out behind a close too,
   * whenever that reads.
   */
  public boolean fitsInitialWindow() {
    return whole && prefix.readableBytes() <= INITIAL_WINDOW_BYTES;
  }

  /** The head alone, or with the body where that is whole; it tells no more time than there is. */
  public HttpRequest message(double remainingMs) {
    HttpHeaders copy =
        headers.copy().set(Headers.TIMEOUT_MS, Long.toString((long) Math.max(1, remainingMs)));
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
  public void streamTo(Sink target) {
    sink = target;
    if (heldPiece != null) {
      HttpContent piece = heldPiece;
      heldPiece = null;
      onClientPiece(piece);
    } else {
      requestPiece.run();
    }
  }

  public void detach(Sink target) {
    if (sink == target) {
      sink = null;
    }
  }

  public boolean streamsTo(Sink target) {
    return sink == target;
  }

  public void requestMore() {
    requestPiece.run();
  }

  /** A piece from the client, which is taken over. */
  public void onClientPiece(HttpContent piece) {
    if (released) {
      piece.release();
    } else if (sink == null) {
      heldPiece = piece;
    } else {
      sink.accept(piece);
    }
  }

  void release() {
    released = true;
    prefix.release();
    if (heldPiece != null) {
      heldPiece.release();
      heldPiece = null;
    }
  }

  /** Tells how long the body is, as its client told. */
  public static void setFraming(
      HttpHeaders outgoing, HttpHeaders received, boolean whole, int length, boolean mayHaveBody) {
    if (whole) {
      if (length > 0 || mayHaveBody) {
        outgoing.set(HttpHeaderNames.CONTENT_LENGTH, length);
      }
    } else if (received.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      outgoing.set(HttpHeaderNames.CONTENT_LENGTH, received.get(HttpHeaderNames.CONTENT_LENGTH));
    } else {
      outgoing.set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
    }
  }
}
