package elmsail.controlplane;

import elmsail.consensus.Register;
import elmsail.runtime.http.SimpleHttpRequest;
import elmsail.runtime.http.HttpHandler;
import elmsail.runtime.http.SimpleHttpResponse;
import java.util.concurrent.CompletableFuture;

/** {@code GET /RoutingConfig.Read}: read at a majority, or 503; never a local guess. */
final class ReadConfigHandler implements HttpHandler {
  private static final long ANSWER_WITHIN_MS = 900;

  private final Register register;
  private final CommittedValue decided;

  ReadConfigHandler(Register register, CommittedValue decided) {
    this.register = register;
    this.decided = decided;
  }

  @Override
  public CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest call) {
    return register
        .read(ConfigOrderHandler.KEY, decided.known(), ANSWER_WITHIN_MS)
        .handle(
            (now, failed) -> {
              if (failed != null) {
                return Replies.why(503, "not reached");
              }
              byte[] value = decided.valueOf(now);
              decided.take(now);
              return value == null
                  ? Replies.why(404, "none yet")
                  : Replies.json(200, ConfigHistory.of(value).bytes());
            });
  }
}
