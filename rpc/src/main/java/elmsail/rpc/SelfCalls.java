package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;

/** Calls of a process to itself: no connection, but messages are copied and answered later. */
final class SelfCalls {

  private final Timers timers;
  private final Codec codec;
  private final RpcCounters counts;
  private final HandlerTable handlers;
  private int open;
  private boolean closed;

  SelfCalls(Timers timers, Codec codec, RpcCounters counts, HandlerTable handlers) {
    this.timers = timers;
    this.codec = codec;
    this.counts = counts;
    this.handlers = handlers;
  }

  /** Calls that have not begun fail BROKEN from here on. */
  void close() {
    closed = true;
  }

  /** False if too many are open: the call is not taken then. */
  boolean start(PendingCall call, Object request) {
    if (open >= RpcConnection.MOST_ASKS) {
      return false;
    }
    Object copy = codec.copy(request);
    open++;
    timers.soon(() -> handle(call, copy));
    return true;
  }

  private void handle(PendingCall call, Object request) {
    if (closed) {
      open--;
      call.fail(ErrorCode.BROKEN, "closed");
      return;
    }
    counts.asks++;
    handlers
        .handle(request)
        .whenComplete((answer, thrown) -> timers.soon(() -> end(call, answer, thrown)));
  }

  private void end(PendingCall call, Object answer, Throwable thrown) {
    open--;
    if (thrown != null) {
      call.refused(ElmsailException.codeOf(thrown));
      return;
    }
    try {
      call.answered(codec.copy(answer));
    } catch (ElmsailException e) {
      call.refused(e.code());
    }
  }
}
