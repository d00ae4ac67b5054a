package elmsail.simulation;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import java.util.concurrent.CompletableFuture;

/** A call in flight on a {@link SimNetwork}; its future completes once. */
final class SimCall {
  final SimNode caller;
  final String targetAddress;
  final CompletableFuture<Object> future = new CompletableFuture<>();
  private final Class<?> responseType;
  Timers.Timer timer;

  SimCall(SimNode from, String to, Class<?> responseType) {
    this.caller = from;
    this.targetAddress = to;
    this.responseType = responseType;
  }

  boolean isDone() {
    return future.isDone();
  }

  void onResponse(Object message) {
    if (!responseType.isInstance(message)) {
      fail(ErrorCode.MALFORMED);
    } else if (finish()) {
      future.complete(message);
    }
  }

  void fail(ErrorCode code) {
    if (finish()) {
      future.completeExceptionally(
          new ElmsailException(code, caller.address() + " to " + targetAddress));
    }
  }

  private boolean finish() {
    if (future.isDone()) {
      return false;
    }
    timer.cancel();
    caller.openCalls.remove(this);
    return true;
  }
}
