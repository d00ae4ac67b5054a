package elmsail.rpc;

import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/** Registers the handlers of requests: one for each message class. */
public interface RequestHandlers {
  /**
   * Registers a handler. It runs on the event loop and must not block; its future may complete
   * later on the loop, or fail with an {@code ElmsailException} whose code is sent to the caller.
   */
  <Q, A> void register(Class<Q> request, Function<Q, ? extends CompletionStage<A>> handler);
}
