package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;

/** Calls of a process to itself: without a connection, on copies of the messages, never inline. */
final class LoopbackCalls {

  private final Timers timers;
  private final MessageCodec codec;
  private final RpcCounters counters;
  private final HandlerRegistry handlers;
  private int openCalls;
  private boolean closed;

  LoopbackCalls(Timers timers, MessageCodec codec, RpcCounters counters, HandlerRegistry handlers) {
    this.timers = timers;
    this.codec = codec;
    this.counters = counters;
    this.handlers = handlers;
  }

  /** Calls that have not begun fail with {@code CONNECTION_LOST} from now on. */
  void close() {
    closed = true;
  }

  /** Starts a call; false, and without effect, if too many are open. */
  boolean start(PendingCall call, Object request) {
    if (openCalls >= RpcConnection.MAX_OPEN_REQUESTS) {
      return false;
    }
    Object copy = codec.copy(request);
    openCalls++;
    timers.execute(() -> handle(call, copy));
    return true;
  }

  private void handle(PendingCall call, Object request) {
    if (closed) {
      openCalls--;
      call.fail(ErrorCode.CONNECTION_LOST, "closed");
      return;
    }
    counters.requestsReceived++;
    handlers
        .handle(request)
        .whenComplete((response, thrown) -> timers.execute(() -> finish(call, response, thrown)));
  }

  private void finish(PendingCall call, Object response, Throwable thrown) {
    openCalls--;
    if (thrown != null) {
      call.onPeerFailure(ElmsailException.codeOf(thrown));
      return;
    }
    try {
      call.onResponse(codec.copy(response));
    } catch (ElmsailException e) {
      call.onPeerFailure(e.code());
    }
  }
}
