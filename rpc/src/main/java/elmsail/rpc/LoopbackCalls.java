package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;

/**
 * Calls of a process to itself, without a connection. As over one, messages are copied and nothing
 * completes inside the call. Used on the loop only.
 */
final class LoopbackCalls {

  private final RpcContext context;
  private final HandlerRegistry handlers;
  private int openCalls;
  private boolean closed;

  LoopbackCalls(RpcContext context, HandlerRegistry handlers) {
    this.context = context;
    this.handlers = handlers;
  }

  /** From now on, calls that have not started fail with CONNECTION_LOST. */
  void close() {
    closed = true;
  }

  /**
   * Handles the call in a later task of the loop.
   *
   * @return false if too many are open; the call is untouched then
   * @throws ElmsailException with INTERNAL if the request is no message
   */
  boolean start(PendingCall call, Object request) {
    if (openCalls >= RpcConnection.MAX_OPEN_REQUESTS) {
      return false;
    }
    Object copy = context.codec().copy(request);
    openCalls++;
    context.timers().execute(() -> handle(call, copy));
    return true;
  }

  private void handle(PendingCall call, Object request) {
    if (closed) {
      openCalls--;
      call.fail(ErrorCode.CONNECTION_LOST, "this endpoint was closed");
      return;
    }
    context.counters().requestsReceived++;
    handlers
        .handle(request)
        .whenComplete(
            (response, failure) -> context.timers().execute(() -> finish(call, response, failure)));
  }

  private void finish(PendingCall call, Object response, Throwable failure) {
    openCalls--;
    if (failure != null) {
      call.onPeerFailure(ElmsailException.codeOf(failure));
      return;
    }
    try {
      call.onResponse(context.codec().copy(response));
    } catch (ElmsailException e) {
      call.onPeerFailure(e.code());
    }
  }
}
