package willowdoor.front.requests;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AsciiString;

/** The protocol's own header names, and the body length that headers declare. */
public final class Headers {

  public static final AsciiString REQUEST_ID = AsciiString.cached("Request-Id");
  public static final AsciiString REQUEST_CLASS = AsciiString.cached("Request-Class");
  public static final AsciiString PLAN = AsciiString.cached("X-Plan");
  public static final AsciiString CUSTOMER = AsciiString.cached("X-Customer");
  public static final AsciiString TIMEOUT_MS = AsciiString.cached("Request-Timeout-Ms");
  public static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("Idempotency-Key");
  public static final AsciiString QUOTA = AsciiString.cached("X-Quota");
  public static final AsciiString NOT_STARTED = AsciiString.cached("Not-Started");
  static final AsciiString UNITS_CHARGED = AsciiString.cached("X-Units-Charged");

  private Headers() {}

  /**
   * The declared length of the body in bytes, or -1 if the body ends with its last chunk or with
   * the connection.
   */
  public static long bodyLength(HttpResponse head) {
    return HttpUtil.isTransferEncodingChunked(head) ? -1 : HttpUtil.getContentLength(head, -1L);
  }
}
