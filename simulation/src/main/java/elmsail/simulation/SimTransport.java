package elmsail.simulation;

import elmsail.rpc.MessageCodec;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.ManualTimers;
import java.util.ArrayList;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Carries the calls of a {@link SimNetwork}: each request and response crosses a directed link with
 * that link's delay, loss and fault, and every draw comes from the network's one source.
 */
final class SimTransport {

  private final Random random;
  private final ManualTimers timers;
  private final MessageCodec codec = new MessageCodec();
  private final SimLinkTable links;
  private final RunTrace trace = new RunTrace(codec);
  private final Function<String, SimNode> nodeAt;
  private final Predicate<String> isPoweredOff;
  private long messagesSent;
  private long messagesLost;

  /**
   * A transport without messages.
   *
   * @param nodeAt the running process at an address, or null
   * @param isPoweredOff whether the machine of a killed process responds to nothing
   */
  SimTransport(
      Random random,
      ManualTimers timers,
      SimLinkTable links,
      Function<String, SimNode> nodeAt,
      Predicate<String> isPoweredOff) {
    this.random = random;
    this.timers = timers;
    this.links = links;
    this.nodeAt = nodeAt;
    this.isPoweredOff = isPoweredOff;
  }

  RunTrace trace() {
    return trace;
  }

  long messagesSent() {
    return messagesSent;
  }

  long messagesLost() {
    return messagesLost;
  }

  <A> CompletableFuture<A> call(
      SimNode from, String to, Object request, Class<A> responseType, long timeoutMs) {
    SimCall call = new SimCall(from, to, responseType);
    // The future is completed with objects of this class only: SimCall checks each response.
    @SuppressWarnings("unchecked")
    CompletableFuture<A> future = (CompletableFuture<A>) call.future;
    if (!from.isAlive()) {
      return future;
    }
    from.openCalls.add(call);
    call.timer = from.timers().schedule(Math.max(0, timeoutMs), () -> call.fail(ErrorCode.TIMEOUT));
    Object copy;
    try {
      copy = codec.copy(request);
    } catch (ElmsailException e) {
      from.timers().execute(() -> call.fail(e.code()));
      return future;
    }
    if (from.address().equals(to)) {
      from.timers().execute(() -> handle(call, from, copy));
    } else {
      send(call, copy);
    }
    return future;
  }

  private void send(SimCall call, Object request) {
    SimNode from = call.caller;
    SimLink link = links.link(from.address(), call.targetAddress);
    SimNode target = nodeAt.apply(call.targetAddress);
    trace.onMessageSent(from.address(), call.targetAddress, request, timers.now());
    if (link.fault == SimLink.Fault.REFUSE) {
      from.timers().execute(() -> call.fail(ErrorCode.NOT_SENT));
    } else if (link.fault == SimLink.Fault.RESET) {
      from.timers().execute(() -> call.fail(ErrorCode.CONNECTION_LOST));
      if (random.nextBoolean()) {
        transmit(
            from.address(),
            call.targetAddress,
            request,
            () -> onRequestArrived(call, target, request));
      }
    } else if (link.fault == SimLink.Fault.NONE && target == null) {
      boolean silent = isPoweredOff.test(call.targetAddress);
      from.timers()
          .schedule(
              silent ? SimNetwork.CONNECT_TIMEOUT_MS : link.drawDelayMs(random),
              () -> call.fail(ErrorCode.NOT_SENT));
    } else {
      transmit(
          from.address(),
          call.targetAddress,
          request,
          () -> onRequestArrived(call, target, request));
    }
  }

  /** The connection leads to that one process: a later one at the same address has none. */
  private void onRequestArrived(SimCall call, SimNode target, Object request) {
    if (target == null || !target.isAlive()) {
      if (!isPoweredOff.test(call.targetAddress)) {
        transmit(
            call.targetAddress,
            call.caller.address(),
            null,
            () -> call.caller.deliver(() -> call.fail(ErrorCode.CONNECTION_LOST)));
      }
      return;
    }
    target.deliver(() -> handle(call, target, request));
  }

  private void handle(SimCall call, SimNode target, Object request) {
    target
        .handlers()
        .handle(request)
        .whenComplete(
            (response, failure) -> {
              if (target.isAlive()) {
                onHandled(call, target, response, failure);
              }
            });
  }

  private void onHandled(SimCall call, SimNode target, Object response, Throwable failure) {
    if (failure != null) {
      trace.onHandlerFailure(failure);
      respond(call, target, null, ElmsailException.codeOf(failure));
      return;
    }
    Object copy;
    try {
      copy = codec.copy(response);
    } catch (ElmsailException e) {
      respond(call, target, null, e.code());
      return;
    }
    respond(call, target, copy, null);
  }

  private void respond(SimCall call, SimNode target, Object response, ErrorCode code) {
    Runnable end =
        () -> {
          if (code != null) {
            call.fail(code);
          } else {
            call.onResponse(response);
          }
        };
    if (call.caller == target) {
      target.timers().execute(end);
    } else {
      trace.onMessageSent(target.address(), call.caller.address(), response, timers.now());
      transmit(target.address(), call.caller.address(), response, () -> call.caller.deliver(end));
    }
  }

  private void transmit(String from, String to, Object message, Runnable arrival) {
    SimLink link = links.link(from, to);
    messagesSent++;
    boolean vanishes = random.nextDouble() < link.lossRatio;
    long ms = link.drawDelayMs(random) + links.uplinkMs(from, timers.now(), message);
    if (vanishes || link.fault == SimLink.Fault.CUT) {
      messagesLost++;
      return;
    }
    timers.schedule(
        ms,
        () -> {
          if (link.fault == SimLink.Fault.CUT) {
            messagesLost++;
          } else {
            arrival.run();
          }
        });
  }

  /** Open calls from one address to the other fail with CONNECTION_LOST. */
  void breakOpenCalls(String from, String to) {
    SimNode node = nodeAt.apply(from);
    if (node == null) {
      return;
    }
    for (SimCall call : new ArrayList<>(node.openCalls)) {
      if (call.targetAddress.equals(to)) {
        timers.execute(() -> node.deliver(() -> call.fail(ErrorCode.CONNECTION_LOST)));
      }
    }
  }
}
