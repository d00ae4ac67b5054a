package elmsail.controlplane;

import elmsail.consensus.Register;
import elmsail.runtime.http.HttpHandler;
import elmsail.runtime.http.SimpleHttpRequest;
import elmsail.runtime.http.SimpleHttpResponse;
import java.util.concurrent.CompletableFuture;

/**
 * The operators' call {@code GET /Timetable.Read}: the current configuration, read from a majority.
 * Replies 503 if no majority responds and 404 before the first configuration. Runs on the event
 * loop.
 */
final class ReadConfigHandler implements HttpHandler {
  private static final long READ_TIMEOUT_MS = 900;

  private final Register register;
  private final CommittedValue committedConfig;

  ReadConfigHandler(Register register, CommittedValue committedConfig) {
    this.register = register;
    this.committedConfig = committedConfig;
  }

  @Override
  public CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest request) {
    return register
        .read(ConfigChangeHandler.KEY, committedConfig.ballot(), READ_TIMEOUT_MS)
        .handle(
            (current, failure) -> {
              if (failure != null) {
                return Replies.error(503, "not reached");
              }
              byte[] value = committedConfig.resolveValue(current);
              committedConfig.offer(current);
              return value == null
                  ? Replies.error(404, "none yet")
                  : Replies.json(200, ConfigHistory.decode(value).configBytes());
            });
  }
}
