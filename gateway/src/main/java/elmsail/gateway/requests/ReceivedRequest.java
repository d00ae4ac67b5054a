package elmsail.gateway.requests;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete request as received from a client.
 *
 * @param uri path and query as received
 * @param arrivedAt when its first byte was read, in ms on the loop's clock
 */
public record ReceivedRequest(
    String method, String uri, HttpHeaders headers, byte[] body, long arrivedAt) {

  /** Without its headers, which may contain a key. */
  @Override
  public String toString() {
    return method + " " + path();
  }

  /** The key that it carries, if any. */
  public Credentials credentials() {
    return Credentials.of(headers);
  }

  /** The path as received, without the query. */
  public String path() {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }

  /** The query without its question mark, or empty. */
  public String query() {
    int query = uri.indexOf('?');
    return query < 0 ? "" : uri.substring(query + 1);
  }
}
