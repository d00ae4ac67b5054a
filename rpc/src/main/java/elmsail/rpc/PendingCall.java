package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import io.netty.buffer.ByteBuf;
import java.util.concurrent.CompletableFuture;

/** A call that has neither failed nor been answered. */
final class PendingCall {
  final long number;
  final long dueAt;
  final CompletableFuture<Object> future = new CompletableFuture<>();
  private final Class<?> answer;
  private final RpcCounters counts;
  Timers.Timer timer;

  /** The connection that it was sent over; null before, and for calls to oneself. */
  RpcConnection connection;

  /** Whether the sockets were looked at since it fell due, the process having been held up. */
  boolean looked;

  /** The frame while the connection is not there yet; owned by this call. */
  ByteBuf frame;

  PendingCall(long number, Class<?> answer, long dueAt, RpcCounters counts) {
    this.number = number;
    this.answer = answer;
    this.dueAt = dueAt;
    this.counts = counts;
  }

  void answered(Object message) {
    if (future.isDone()) {
      counts.late++;
      return;
    }
    timer.cancel();
    if (answer.isInstance(message)) {
      counts.answers++;
      future.complete(message);
    } else {
      counts.otherTypes++;
      future.completeExceptionally(
          new ElmsailException(ErrorCode.GARBLED, "answer of another type"));
    }
  }

  /** The peer said that it failed. */
  void refused(ErrorCode code) {
    if (future.isDone()) {
      counts.late++;
      return;
    }
    timer.cancel();
    counts.failures++;
    future.completeExceptionally(new ElmsailException(code, "told by the peer"));
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
      case UNSENT -> counts.unsent++;
      case BROKEN -> counts.broken++;
      case SILENT -> counts.silent++;
      case FULL -> counts.full++;
      default -> counts.failures++;
    }
    future.completeExceptionally(new ElmsailException(code, detail));
  }
}
