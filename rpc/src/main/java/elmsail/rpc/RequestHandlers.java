package elmsail.rpc;

import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/** Where the handlers of inner calls are put: one for each kind of message. */
public interface RequestHandlers {
  /**
   * The handler runs on the loop; its future may complete later, on the loop, and may fail with a
   * code.
   */
  <Q, A> void register(Class<Q> request, Function<Q, ? extends CompletionStage<A>> handler);
}
