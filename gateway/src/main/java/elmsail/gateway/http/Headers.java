package elmsail.gateway.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Iterator;
import java.util.Locale;
import java.util.Map;

/** The protocol's header names, and the selection of a message's end-to-end headers. */
public final class Headers {
  public static final String REQUEST_ID = "Elmsail-Request-Id";
  public static final String DEADLINE_MS = "Elmsail-Deadline-Ms";
  public static final String EXPECT_SERVER = "Elmsail-Expect-Server";

  /**
   * A server sets this header on its responses. The gateway relays its value, and does not set this
   * header on local replies. The outcome of a 2xx response without this header is unknown.
   */
  public static final String POSTMARK = "Elmsail-Postmark";

  public static final String NOT_RUN = "Elmsail-Not-Run";
  public static final String SERVER_LOAD = "Elmsail-Server-Load";
  public static final String PROMPT_PREFIX = "Elmsail-Prompt-Prefix";
  public static final String TOKENS = "Elmsail-Tokens";
  public static final String WAIT_MS = "Elmsail-Wait-Ms";
  public static final String LAST_EVENT_ID = "Last-Event-Id";
  public static final String PRIORITY = "Priority";
  public static final String RETRY_AFTER = "Retry-After";
  public static final String EVENT_STREAM = "text/event-stream";

  /** The name of the tenant, for the server. Only the gateway sets this header. */
  public static final String SENDER = "Elmsail-Sender";

  /** A client's key. The gateway does not forward this header to servers. */
  public static final String AUTHORIZATION = "Authorization";

  public static final String WWW_AUTHENTICATE = "WWW-Authenticate";

  private Headers() {}

  /** Copies the headers without hop-by-hop headers (RFC 9110, section 7.6.1) and Content-Length. */
  public static HttpHeaders endToEnd(HttpHeaders headers) {
    HttpHeaders endToEnd = new DefaultHttpHeaders();
    String connectionTokens = "";
    for (String value : headers.getAll("Connection")) {
      connectionTokens += "," + value.toLowerCase(Locale.ROOT);
    }
    for (Iterator<Map.Entry<String, String>> iterator = headers.iteratorAsString();
        iterator.hasNext(); ) {
      Map.Entry<String, String> header = iterator.next();
      if (!isHopByHop(header.getKey().toLowerCase(Locale.ROOT), connectionTokens)) {
        endToEnd.add(header.getKey(), header.getValue());
      }
    }
    return endToEnd;
  }

  private static boolean isHopByHop(String name, String connectionTokens) {
    switch (name) {
      case "connection",
          "keep-alive",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "expect" -> {
        return true;
      }
      default -> {
        return name.startsWith("proxy-")
            || !connectionTokens.isEmpty() && containsToken(connectionTokens, name);
      }
    }
  }

  private static boolean containsToken(String list, String name) {
    for (String token : list.split(",")) {
      if (token.trim().equals(name)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Parses a decimal number.
   *
   * @return the number, 0 or more, or the default if the text is not a decimal number
   */
  public static long parseNonNegative(String text, long defaultValue) {
    if (text == null || text.isEmpty() || text.length() > 18) {
      return defaultValue;
    }
    long value = 0;
    for (int i = 0; i < text.length(); i++) {
      int digit = text.charAt(i) - '0';
      if (digit < 0 || digit > 9) {
        return defaultValue;
      }
      value = 10 * value + digit;
    }
    return value;
  }
}
