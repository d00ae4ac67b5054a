package elmsail.runtime.http;

import java.util.concurrent.CompletableFuture;

/** Small calls to others' addresses. */
public interface HttpClient {
  /** Fails with UNSENT, BROKEN, SILENT or GARBLED. The connection is closed afterwards. */
  CompletableFuture<SimpleHttpResponse> get(String address, String pathAndQuery, long timeoutMs);
}
