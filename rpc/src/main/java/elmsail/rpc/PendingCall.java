package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import io.netty.buffer.ByteBuf;
import java.util.concurrent.CompletableFuture;

/**
 * An outbound call from its start until its future completes, which happens once. Used on the loop
 * only.
 */
final class PendingCall {
  final long callId;

  /** The address called, "ip:port". */
  final String address;

  /** In ms of the loop's clock. */
  final long deadline;

  final CompletableFuture<Object> future = new CompletableFuture<>();
  private final Class<?> requestType;
  private final Class<?> responseType;
  private final RpcCounters counters;

  /** Fires at the deadline; set right after construction. */
  Timers.Timer timer;

  /** The connection that it was sent over; null before that, and for loopback calls. */
  RpcConnection connection;

  /** Whether the deadline was extended so that the sockets are read first, after a stall. */
  boolean deadlineExtended;

  /** The encoded request while it is queued for a connection, owned by this call; else null. */
  ByteBuf frame;

  /**
   * A call that has not been sent.
   *
   * @param requestType for error texts; null if the request was null
   * @param responseType the only class that the future completes with
   */
  PendingCall(
      long callId,
      String address,
      Class<?> requestType,
      Class<?> responseType,
      long deadline,
      RpcCounters counters) {
    this.callId = callId;
    this.address = address;
    this.requestType = requestType;
    this.responseType = responseType;
    this.deadline = deadline;
    this.counters = counters;
  }

  /** Completes the call, or fails it with MALFORMED if the message is of another type. */
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
      String reason =
          "expected a response of type "
              + responseType.getSimpleName()
              + ", received "
              + message.getClass().getSimpleName();
      future.completeExceptionally(failure(ErrorCode.MALFORMED, reason));
    }
  }

  /** Fails the call with the code that the peer responded with. */
  void onPeerFailure(ErrorCode code) {
    if (future.isDone()) {
      counters.lateResponses++;
      return;
    }
    timer.cancel();
    counters.failures++;
    future.completeExceptionally(failure(code, "the peer responded with this code"));
  }

  /** Fails the call for a reason on this side; without effect if it has completed. */
  void fail(ErrorCode code, String reason) {
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
    future.completeExceptionally(failure(code, reason));
  }

  private ElmsailException failure(ErrorCode code, String reason) {
    String type = requestType == null ? "null" : requestType.getSimpleName();
    return new ElmsailException(code, type + " to " + address + ": " + reason);
  }
}
