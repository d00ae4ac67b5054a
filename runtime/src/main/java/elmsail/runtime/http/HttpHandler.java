package elmsail.runtime.http;

import java.util.concurrent.CompletableFuture;

/** One resource's calls. */
@FunctionalInterface
public interface HttpHandler {
  /** Completes on the loop; a future that fails is answered 503. */
  CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest request);
}
