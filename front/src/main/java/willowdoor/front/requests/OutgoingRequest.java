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
 * A request to a backend. Its head and the first bytes of its body (the prefix) are kept and can be
 * sent again. The rest of the body is streamed once, piece by piece, as the backend takes it. The
 * table of requests owns this object.
 */
public final class OutgoingRequest {

  /** Receives the pieces beyond the prefix. */
  public interface Sink {
    /** Takes ownership of a piece, and requests the next one once there is room. */
    void accept(HttpContent piece);
  }

  /** Bytes of a body that fit into ten segments of 1,460 bytes, less room for the head. */
  private static final int INITIAL_WINDOW_BYTES = 8_000;

  private final HttpMethod method;
  private final String uri;
  private final HttpHeaders headers;
  private final ByteBuf prefix;
  private final boolean whole;
  private final Runnable requestPiece;
  private Sink sink;

  /** A piece that was requested by an attempt which ended before the piece arrived. */
  private HttpContent heldPiece;

  private boolean released;

  /**
   * Takes ownership of the prefix. If the prefix is not the whole body, {@code requestPiece}
   * requests the next piece from the client.
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
   * Whether TCP sends the whole request at once on a connection that carries nothing else: the
   * initial window is ten segments (RFC 6928). Bytes beyond the window wait for the peer. Even
   * after a close, the kernel still sends them once the peer reads.
   */
  public boolean fitsInitialWindow() {
    return whole && prefix.readableBytes() <= INITIAL_WINDOW_BYTES;
  }

  /**
   * The head alone, or with the body if the prefix is the whole body. The timeout header holds the
   * remaining time.
   */
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

  /** Streams the rest of the body to the sink from now on. */
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

  /** Forwards or holds a piece from the client. Takes ownership of the piece. */
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

  /** Sets the headers that declare the body's length, as the client's request declares it. */
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
