package elmsail.controlplane;

import elmsail.runtime.Timers;
import elmsail.runtime.http.HttpHandler;
import elmsail.runtime.http.SimpleHttpRequest;
import elmsail.runtime.http.SimpleHttpResponse;
import java.util.concurrent.CompletableFuture;

/**
 * Turns an answer that comes too long after its call into 503: it rests on what a majority said
 * then, and this process may have been frozen since. An acknowledgement of a change stays, as what
 * was decided holds for ever.
 */
record StaleReplyFilter(Timers timers, HttpHandler handler) implements HttpHandler {

  @Override
  public CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest request) {
    long receivedAtMs = timers.now();
    return handler
        .handle(request)
        .thenApply(response -> rejectIfStale(request, response, receivedAtMs));
  }

  private SimpleHttpResponse rejectIfStale(
      SimpleHttpRequest request, SimpleHttpResponse response, long receivedAtMs) {
    boolean acknowledged = response.status() == 200 && "POST".equals(request.method());
    boolean late = timers.now() - receivedAtMs > QuorumContact.MAX_AGE_MS;
    return late && !acknowledged ? Replies.error(503, "answered too late") : response;
  }
}
