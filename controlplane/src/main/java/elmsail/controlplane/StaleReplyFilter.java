package elmsail.controlplane;

import elmsail.runtime.Timers;
import elmsail.runtime.http.HttpHandler;
import elmsail.runtime.http.SimpleHttpRequest;
import elmsail.runtime.http.SimpleHttpResponse;
import java.util.concurrent.CompletableFuture;

/**
 * Replaces replies that come too long after their call with 503: they reflect the state that a
 * majority reported earlier, and this process may have been frozen since. The acknowledgement of a
 * change is passed on unchanged, because a committed change stays committed.
 *
 * @param timers of the event loop, on which this runs
 * @param handler of the calls
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
