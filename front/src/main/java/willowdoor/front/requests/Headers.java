package willowdoor.front.requests;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AsciiString;

/** The protocol's own header names, and what headers tell of a body. */
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

  /** The body's length in bytes as told, or -1: then its chunks or the connection's end tell it. */
  public static long bodyLength(HttpResponse head) {
    return HttpUtil.isTransferEncodingChunked(head) ? -1 : HttpUtil.getContentLength(head, -1L);
  }
}
