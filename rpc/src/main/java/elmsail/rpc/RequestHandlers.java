package elmsail.rpc;

import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/** Where the handlers of requests are registered, one for each type of request. */
public interface RequestHandlers {
  /**
   * Registers the handler of a request type, in place of the one before.
   *
   * @param handler called on the event loop; must not block. Its future must complete on the loop,
   *     with a message or with an {@code ElmsailException} whose code is sent to the caller
   */
  <Q, A> void register(Class<Q> requestType, Function<Q, ? extends CompletionStage<A>> handler);
}
