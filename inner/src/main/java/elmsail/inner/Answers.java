package elmsail.inner;

import elmsail.station.Code;
import elmsail.station.ElmsailException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The handlers of a process, by the class of the ask. */
public final class Answers implements Answering {

  private static final Logger LOG = LoggerFactory.getLogger(Answers.class);
  private static final int MOST_LOGGED = 20;

  private final Map<Class<?>, Function<?, ?>> handlers = new HashMap<>();
  private int logged;

  @Override
  public <Q, A> void on(Class<Q> ask, Function<Q, ? extends CompletionStage<A>> handler) {
    handlers.put(ask, handler);
  }

  /** Never throws; fails with FAULT if nothing was put here for the ask, or its handler threw. */
  public CompletionStage<Object> handle(Object ask) {
    @SuppressWarnings("unchecked")
    Function<Object, CompletionStage<Object>> handler =
        (Function<Object, CompletionStage<Object>>) handlers.get(ask.getClass());
    if (handler == null) {
      return failed(new ElmsailException(Code.FAULT, "no handler of " + ask.getClass().getSimpleName()));
    }
    try {
      CompletionStage<Object> answer = handler.apply(ask);
      return answer != null ? answer : failed(new ElmsailException(Code.FAULT, "no answer"));
    } catch (RuntimeException e) {
      if (ElmsailException.codeOf(e) == Code.FAULT && logged < MOST_LOGGED) {
        logged++;
        LOG.error("Handler of {} failed", ask.getClass().getSimpleName(), e);
      }
      return failed(e);
    }
  }

  private static CompletionStage<Object> failed(Throwable thrown) {
    return CompletableFuture.failedFuture(thrown);
  }
}
