package elmsail.runtime.http;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Sends small HTTP requests. */
@FunctionalInterface
public interface HttpClient {
  /**
   * Sends a request on a connection of its own, which is closed afterwards. The future fails with
   * {@code NOT_SENT}, {@code CONNECTION_LOST}, {@code TIMEOUT} or {@code MALFORMED}; after all but
   * the first the request may have been handled.
   */
  CompletableFuture<SimpleHttpResponse> send(
      String address, HttpClientRequest request, long timeoutMs);

  /** Sends a GET; see {@link #send}. */
  default CompletableFuture<SimpleHttpResponse> get(
      String address, String pathAndQuery, long timeoutMs) {
    return send(address, HttpClientRequest.get(pathAndQuery), timeoutMs);
  }

  /** Sends a POST; see {@link #send}. */
  default CompletableFuture<SimpleHttpResponse> post(
      String address,
      String pathAndQuery,
      Map<String, String> headers,
      byte[] body,
      long timeoutMs) {
    return send(address, HttpClientRequest.post(pathAndQuery, headers, body), timeoutMs);
  }
}
