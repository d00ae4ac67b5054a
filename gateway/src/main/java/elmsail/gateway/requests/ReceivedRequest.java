package elmsail.gateway.requests;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A client's request, whole.
 *
 * @param uri path and query as they came
 * @param arrivedAt when its first byte was read, on the loop's clock
 */
public record ReceivedRequest(
    String method, String uri, HttpHeaders headers, byte[] body, long arrivedAt) {

  /** The path as it came, without the query. */
  public String path() {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }

  /** Behind the question mark, or empty. */
  public String query() {
    int query = uri.indexOf('?');
    return query < 0 ? "" : uri.substring(query + 1);
  }
}
