package elmsail.controlplane;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.http.HttpHandler;
import elmsail.runtime.http.SimpleHttpRequest;
import elmsail.runtime.http.SimpleHttpResponse;
import java.util.concurrent.CompletableFuture;

/**
 * Handles the operators' calls {@code POST /Retire.Begin/MACHINE} and {@code GET
 * /Retire.Read/MACHINE}; the {@link DecommissionManager} determines the responses. Runs on the
 * event loop.
 *
 * <p>The statuses 404 and 409 are final, so the handler returns them only if a majority of the
 * control-plane nodes agrees. If the majority cannot be queried, the status is 503 and the operator
 * retries; 504 if the store may have been listed.
 */
final class DecommissionHandler implements HttpHandler {
  static final String BEGIN_PATH = "/Retire.Begin/";
  static final String READ_PATH = "/Retire.Read/";

  private final DecommissionManager manager;

  DecommissionHandler(DecommissionManager manager) {
    this.manager = manager;
  }

  @Override
  public CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest request) {
    boolean isBegin = request.path().startsWith(BEGIN_PATH);
    String machine = request.path().substring(isBegin ? BEGIN_PATH.length() : READ_PATH.length());
    if (manager.isKnown(machine)) {
      return respond(isBegin, machine);
    }
    return manager
        .isKnownToMajority(machine)
        .thenCompose(
            isKnown ->
                isKnown
                    ? respond(isBegin, machine)
                    : Replies.completed(Replies.error(404, "unknown")))
        .exceptionally(failure -> Replies.error(503, "not sure who is there"));
  }

  private CompletableFuture<SimpleHttpResponse> respond(boolean isBegin, String machine) {
    return isBegin ? begin(machine) : Replies.completed(readState(machine));
  }

  private CompletableFuture<SimpleHttpResponse> begin(String machine) {
    return manager
        .begin(machine)
        .thenApply(DecommissionHandler::beginReply)
        .exceptionally(DecommissionHandler::failureReply);
  }

  private static SimpleHttpResponse failureReply(Throwable failure) {
    return ElmsailException.codeOf(failure) == ErrorCode.OUTCOME_UNKNOWN
        ? Replies.error(504, "unclear")
        : Replies.error(503, "not reached");
  }

  private static SimpleHttpResponse beginReply(DecommissionManager.BeginResult result) {
    return switch (result) {
      case LISTED -> Replies.json(200, "{}");
      case TOO_FEW_STORES_REMAIN -> Replies.error(409, "too few would remain");
      case TOO_FEW_RECENT_HEARTBEATS -> Replies.error(503, "too few are heard at present");
    };
  }

  private SimpleHttpResponse readState(String machine) {
    return manager
        .state(machine)
        .map(state -> Replies.json(200, "{\"state\":\"" + state.jsonName() + "\"}"))
        .orElseGet(() -> Replies.error(503, "no contact with a majority"));
  }
}
