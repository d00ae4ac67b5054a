package elmsail.runtime.http;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.Map;

/**
 * A small request to be sent, complete in memory.
 *
 * @param pathAndQuery encoded, as it is sent
 * @param headers by name, beside those of the transport: {@code Host}, {@code Connection} and
 *     {@code Content-Length}
 */
public record HttpClientRequest(
    String method, String pathAndQuery, Map<String, String> headers, byte[] body) {

  private static final String GET = "GET";
  private static final byte[] NO_BODY = new byte[0];

  /**
   * Checks what would break the request's framing.
   *
   * @throws ElmsailException INVALID_ARGUMENT if the path or a header has a character that may not
   *     stand there
   */
  public HttpClientRequest {
    require(isVisible(pathAndQuery), "not a path: ", pathAndQuery);
    for (Map.Entry<String, String> header : headers.entrySet()) {
      String name = header.getKey();
      require(isVisible(name) && name.indexOf(':') < 0, "not a header's name: ", name);
      require(isPrintable(header.getValue()), "not a header's value, of: ", name);
    }
    headers = Map.copyOf(headers);
  }

  /** A GET without headers of its own. */
  public static HttpClientRequest get(String pathAndQuery) {
    return new HttpClientRequest(GET, pathAndQuery, Map.of(), NO_BODY);
  }

  /** A POST with that body. */
  public static HttpClientRequest post(
      String pathAndQuery, Map<String, String> headers, byte[] body) {
    return new HttpClientRequest("POST", pathAndQuery, headers, body);
  }

  /** The head as it is sent, up to and with the empty line. */
  String formatHead(String host) {
    StringBuilder head = new StringBuilder(128);
    head.append(method).append(' ').append(pathAndQuery).append(" HTTP/1.1\r\nHost: ").append(host);
    headers.forEach((name, value) -> head.append("\r\n").append(name).append(": ").append(value));
    if (!method.equals(GET)) {
      head.append("\r\nContent-Length: ").append(body.length);
    }
    return head.append("\r\nConnection: close\r\n\r\n").toString();
  }

  private static boolean isVisible(String text) {
    return !text.isEmpty() && text.chars().allMatch(each -> each > ' ' && each <= '~');
  }

  private static boolean isPrintable(String text) {
    return text.chars().allMatch(each -> each >= ' ' && each <= '~');
  }

  private static void require(boolean valid, String message, String detail) {
    if (!valid) {
      throw new ElmsailException(ErrorCode.INVALID_ARGUMENT, message + detail);
    }
  }
}
