package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import io.netty.buffer.ByteBuf;
import java.util.concurrent.CompletableFuture;

/** A call that has neither failed nor been answered yet. Completes its future once. */
final class PendingCall {
  final long callId;
  final long deadline;
  final CompletableFuture<Object> future = new CompletableFuture<>();
  private final Class<?> responseType;
  private final RpcCounters counters;
  Timers.Timer timer;

  /** The connection it was sent on; null before that, and for loopback calls. */
  RpcConnection connection;

  /** Whether the deadline was extended once because the process was stalled. */
  boolean deadlineExtended;

  /** The frame while there is no connection yet; owned by this call. */
  ByteBuf frame;

  PendingCall(long number, Class<?> responseType, long dueAt, RpcCounters counters) {
    this.callId = number;
    this.responseType = responseType;
    this.deadline = dueAt;
    this.counters = counters;
  }

  void onResponse(Object message) {
    if (future.isDone()) {
      counters.lateResponses++;
      return;
    }
    timer.cancel();
    if (responseType.isInstance(message)) {
      counters.responses++;
      future.complete(message);
    } else {
      counters.unexpectedResponseTypes++;
      future.completeExceptionally(
          new ElmsailException(ErrorCode.MALFORMED, "answer of another type"));
    }
  }

  /** The peer responded with a failure. */
  void onPeerFailure(ErrorCode code) {
    if (future.isDone()) {
      counters.lateResponses++;
      return;
    }
    timer.cancel();
    counters.failures++;
    future.completeExceptionally(new ElmsailException(code, "failure reported by the peer"));
  }

  void fail(ErrorCode code, String detail) {
    if (future.isDone()) {
      return;
    }
    timer.cancel();
    if (frame != null) {
      frame.release();
      frame = null;
    }
    switch (code) {
      case NOT_SENT -> counters.notSent++;
      case CONNECTION_LOST -> counters.connectionLost++;
      case TIMEOUT -> counters.timeouts++;
      case RESOURCE_EXHAUSTED -> counters.resourceExhausted++;
      default -> counters.failures++;
    }
    future.completeExceptionally(new ElmsailException(code, detail));
  }
}
