package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The request handlers of a process, by the class of the request. Used on the loop only. */
public final class HandlerRegistry implements RequestHandlers {

  private static final Logger LOG = LoggerFactory.getLogger(HandlerRegistry.class);
  private static final int MAX_LOGGED_FAULTS = 20;

  private final Map<Class<?>, Function<?, ?>> handlers = new HashMap<>();
  private int loggedFaults;

  @Override
  public <Q, A> void register(
      Class<Q> requestType, Function<Q, ? extends CompletionStage<A>> handler) {
    handlers.put(requestType, handler);
  }

  /**
   * Runs the handler of the request.
   *
   * @return what the handler returned; failed with INTERNAL if there is no handler or it returned
   *     null, and with what it threw if it threw
   */
  public CompletionStage<Object> handle(Object request) {
    // Each handler was registered under the class of its requests.
    @SuppressWarnings("unchecked")
    Function<Object, CompletionStage<Object>> handler =
        (Function<Object, CompletionStage<Object>>) handlers.get(request.getClass());
    if (handler == null) {
      return failed(
          new ElmsailException(
              ErrorCode.INTERNAL, "no handler of " + request.getClass().getSimpleName()));
    }
    try {
      CompletionStage<Object> response = handler.apply(request);
      return response != null
          ? response
          : failed(
              new ElmsailException(
                  ErrorCode.INTERNAL,
                  "the handler of " + request.getClass().getSimpleName() + " returned null"));
    } catch (RuntimeException e) {
      // A handler's fault must end its own call only.
      if (ElmsailException.codeOf(e) == ErrorCode.INTERNAL && loggedFaults < MAX_LOGGED_FAULTS) {
        loggedFaults++;
        LOG.error("Handler of {} failed", request.getClass().getSimpleName(), e);
      }
      return failed(e);
    }
  }

  private static CompletionStage<Object> failed(Throwable thrown) {
    return CompletableFuture.failedFuture(thrown);
  }
}
