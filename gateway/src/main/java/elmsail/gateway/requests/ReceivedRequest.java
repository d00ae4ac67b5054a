package elmsail.gateway.requests;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete request as received from a client.
 *
 * @param uri the path and query as received
 * @param arrivedAt when the first byte of the request was read, in ms on the event loop's clock
 */
public record ReceivedRequest(
    String method, String uri, HttpHeaders headers, byte[] body, long arrivedAt) {

  /** Method and path; not the headers and the query, which may contain a key. */
  @Override
  public String toString() {
    return method + " " + path();
  }

  /** The credentials of the request. */
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
