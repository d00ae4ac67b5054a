package elmsail.simulation;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import java.util.concurrent.CompletableFuture;

/** A call on its way through a {@link SimNet}. */
final class SimCall {
  final Node from;
  final String to;
  final CompletableFuture<Object> future = new CompletableFuture<>();
  private final Class<?> answer;
  Timers.Timer timer;

  SimCall(Node from, String to, Class<?> answer) {
    this.from = from;
    this.to = to;
    this.answer = answer;
  }

  boolean done() {
    return future.isDone();
  }

  void answered(Object message) {
    if (!answer.isInstance(message)) {
      fail(ErrorCode.GARBLED);
    } else if (end()) {
      future.complete(message);
    }
  }

  void fail(ErrorCode code) {
    if (end()) {
      future.completeExceptionally(new ElmsailException(code, from.address() + " to " + to));
    }
  }

  private boolean end() {
    if (future.isDone()) {
      return false;
    }
    timer.cancel();
    from.open.remove(this);
    return true;
  }
}
