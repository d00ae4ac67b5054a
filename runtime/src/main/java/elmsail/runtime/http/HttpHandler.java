package elmsail.runtime.http;

import java.util.concurrent.CompletableFuture;

/** Handles the requests of one resource. */
@FunctionalInterface
public interface HttpHandler {
  /** Completes on the event loop; a failed future is answered with 503. */
  CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest request);
}
