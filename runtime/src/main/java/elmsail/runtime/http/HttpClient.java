package elmsail.runtime.http;

import java.util.concurrent.CompletableFuture;

/** Sends small HTTP requests. */
public interface HttpClient {
  /**
   * Sends a request on a connection of its own, which is closed afterwards. The future fails with
   * {@code NOT_SENT}, {@code CONNECTION_LOST}, {@code TIMEOUT} or {@code MALFORMED}.
   */
  CompletableFuture<SimpleHttpResponse> get(String address, String pathAndQuery, long timeoutMs);
}
