package elmsail.simulation;

import elmsail.rpc.MessageCodec;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.ManualTimers;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/**
 * A network of processes in one test, all of it from one seed and on one clock that is moved by
 * hand. Faults are of directed links: requests and responses of one address to another alike.
 * Messages may overtake each other. All are copied through the codec, so nothing is shared.
 */
public final class SimNetwork {

  /** Ms until a call to a machine without power fails, as its connection does not come about. */
  public static final long CONNECT_TIMEOUT_MS = 700;

  private final Random random;
  private final ManualTimers timers;
  private final MessageCodec codec = new MessageCodec();
  private final Map<String, SimNode> nodes = new LinkedHashMap<>();
  private final SimLinkTable links = new SimLinkTable();
  private final RunTrace trace = new RunTrace(codec);

  /** Addresses of processes that died without a word. */
  private final Map<String, Boolean> poweredOff = new LinkedHashMap<>();

  private long messagesSent;
  private long messagesLost;

  /** A network without processes, with 1 to 5 ms one way and no faults. */
  public SimNetwork(long seed, ManualTimers timers) {
    this.random = new Random(seed);
    this.timers = timers;
  }

  /** Starts a process at that address; one that runs there is killed first. */
  public SimNode startNode(String address) {
    if (nodes.containsKey(address)) {
      kill(address);
    }
    poweredOff.remove(address);
    SimNode node = new SimNode(this, address, timers);
    nodes.put(address, node);
    return node;
  }

  /** The process that runs at the address, or null. */
  public SimNode nodeAt(String address) {
    return nodes.get(address);
  }

  /** The clock that all share. */
  public ManualTimers timers() {
    return timers;
  }

  /** Ms one way, drawn for each message, for all links that have not their own. */
  public void delay(long minMs, long maxMs) {
    links.delay(minMs, maxMs);
  }

  /** Ms one way, drawn for each message of this direction. */
  public void delay(String from, String to, long minMs, long maxMs) {
    links.link(from, to).delay(minMs, maxMs);
  }

  /**
   * What the address sends shares an outgoing link of that rate from now on; others have no such
   * bound.
   */
  public void uplink(String address, double bytesPerMs) {
    links.uplink(address, bytesPerMs);
  }

  /** The part of messages, 0 to 1, that vanish on all links. */
  public void loss(double ratio) {
    links.lossRatio(ratio);
  }

  /** The part of messages, 0 to 1, that vanish in this direction. */
  public void loss(String from, String to, double ratio) {
    links.link(from, to).lossRatio = ratio;
  }

  /** Messages that way vanish, also those under way. */
  public void cut(String from, String to) {
    links.link(from, to).fault = SimLink.Fault.CUT;
  }

  /** Messages of both directions vanish, also those under way. */
  public void cutBoth(String one, String other) {
    cut(one, other);
    cut(other, one);
  }

  /** Cuts all links from and to the address of processes that are known. */
  public void isolate(String address) {
    for (String other : new ArrayList<>(nodes.keySet())) {
      if (!other.equals(address)) {
        cutBoth(address, other);
      }
    }
  }

  /**
   * Calls that way, also open ones, break at once; whether the request reaches the peer nonetheless
   * is drawn.
   */
  public void resetCalls(String from, String to) {
    links.link(from, to).fault = SimLink.Fault.RESET;
    breakOpenCalls(from, to);
  }

  /** Open calls that way break once; later ones are sound. */
  public void breakOpenCallsOnce(String from, String to) {
    breakOpenCalls(from, to);
  }

  /** Calls that way fail UNSENT at once; open ones go on. */
  public void refuseCalls(String from, String to) {
    links.link(from, to).fault = SimLink.Fault.REFUSE;
  }

  /** Ends a cut, reset or refusal; delay and loss stay. */
  public void heal(String from, String to) {
    links.link(from, to).fault = SimLink.Fault.NONE;
  }

  /** Ends the faults of both directions. */
  public void healBoth(String one, String other) {
    heal(one, other);
    heal(other, one);
  }

  /** Ends every cut, reset and refusal; delays and losses stay. */
  public void healAll() {
    links.clearFaults();
  }

  /** Kills the process; whether its callers see the connection end is drawn. */
  public void kill(String address) {
    kill(address, random.nextBoolean());
  }

  /**
   * Kills the process: nothing of it runs any more, and its messages under way are lost or not.
   *
   * @param seen true: open calls to it break, later ones are UNSENT at once (the process died);
   *     false: open ones are SILENT, later ones UNSENT after {@link #CONNECT_TIMEOUT_MS} (the
   *     machine lost its power)
   */
  public void kill(String address, boolean seen) {
    SimNode node = nodes.remove(address);
    if (node == null) {
      return;
    }
    node.kill();
    poweredOff.put(address, !seen);
    if (seen) {
      for (SimNode other : new ArrayList<>(nodes.values())) {
        breakOpenCalls(other.address(), address);
      }
    }
  }

  /** Holds the messages and timers of the process from now on; its clock goes on. */
  public void freeze(String address) {
    nodes.get(address).freeze();
  }

  /** What was held runs at the present time, in its order. */
  public void thaw(String address) {
    nodes.get(address).thaw();
  }

  /** How many messages were sent, those that were lost included. */
  public long messagesSent() {
    return messagesSent;
  }

  /** From now on the bytes of all messages from and to that address are counted, from 0. */
  public void countBytes(String address) {
    trace.countBytes(address);
  }

  /** Bytes of messages, without frames, since {@link #countBytes}. */
  public long countedBytes() {
    return trace.countedBytes();
  }

  /** How many messages vanished by loss or by a cut. */
  public long messagesLost() {
    return messagesLost;
  }

  /** What handlers failed with that is no {@link ElmsailException}: a good run has none. */
  public List<Throwable> handlerFaults() {
    return trace.faults();
  }

  /** Of all that was sent, when, and to whom: equal for two runs that went alike. */
  public long digest() {
    return trace.digest();
  }

  <A> CompletableFuture<A> call(
      SimNode from, String to, Object request, Class<A> response, long timeoutMs) {
    SimCall call = new SimCall(from, to, response);
    // The future is completed with objects of this class alone: SimCall checks each answer.
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
    SimNode target = nodes.get(call.targetAddress);
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
      boolean silent = poweredOff.getOrDefault(call.targetAddress, false);
      from.timers()
          .schedule(
              silent ? CONNECT_TIMEOUT_MS : link.drawDelayMs(random),
              () -> call.fail(ErrorCode.NOT_SENT));
    } else {
      transmit(
          from.address(),
          call.targetAddress,
          request,
          () -> onRequestArrived(call, target, request));
    }
  }

  /** The connection led to that one process: another at the same address does not know it. */
  private void onRequestArrived(SimCall call, SimNode target, Object request) {
    if (target == null || !target.isAlive()) {
      if (!poweredOff.getOrDefault(call.targetAddress, false)) {
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
            (response, thrown) -> {
              if (!target.isAlive()) {
                return;
              }
              ErrorCode code = null;
              Object copy = null;
              if (thrown != null) {
                code = ElmsailException.codeOf(thrown);
                trace.onHandlerFailure(thrown);
              } else {
                try {
                  copy = codec.copy(response);
                } catch (ElmsailException e) {
                  code = e.code();
                }
              }
              respond(call, target, copy, code);
            });
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

  private void breakOpenCalls(String from, String to) {
    SimNode node = nodes.get(from);
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
