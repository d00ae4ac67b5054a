package elmsail.simulation;

import elmsail.rpc.Codec;
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
public final class SimNet {

  /** Ms until a call to a machine without power fails, as its connection does not come about. */
  public static final long CONNECT_WITHIN = 700;

  private final Random random;
  private final ManualTimers timers;
  private final Codec codec = new Codec();
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final SimLinks links = new SimLinks();
  private final RunRecord record = new RunRecord(codec);

  /** Addresses of processes that died without a word. */
  private final Map<String, Boolean> dark = new LinkedHashMap<>();

  private long sent;
  private long lost;

  /** A network without processes, with 1 to 5 ms one way and no faults. */
  public SimNet(long seed, ManualTimers timers) {
    this.random = new Random(seed);
    this.timers = timers;
  }

  /** Starts a process at that address; one that runs there is killed first. */
  public Node node(String address) {
    if (nodes.containsKey(address)) {
      kill(address);
    }
    dark.remove(address);
    Node node = new Node(this, address, timers);
    nodes.put(address, node);
    return node;
  }

  /** The process that runs at the address, or null. */
  public Node at(String address) {
    return nodes.get(address);
  }

  /** The clock that all share. */
  public ManualTimers timers() {
    return timers;
  }

  /** Ms one way, drawn for each message, for all links that have not their own. */
  public void delay(long least, long most) {
    links.delay(least, most);
  }

  /** Ms one way, drawn for each message of this direction. */
  public void delay(String from, String to, long least, long most) {
    links.link(from, to).delay(least, most);
  }

  /**
   * What the address sends shares an outgoing link of that rate from now on; others have no such
   * bound.
   */
  public void uplink(String address, double bytesPerMs) {
    links.uplink(address, bytesPerMs);
  }

  /** The part of messages, 0 to 1, that vanish on all links. */
  public void loss(double part) {
    links.loss(part);
  }

  /** The part of messages, 0 to 1, that vanish in this direction. */
  public void loss(String from, String to, double part) {
    links.link(from, to).loss = part;
  }

  /** Messages that way vanish, also those under way. */
  public void cut(String from, String to) {
    links.link(from, to).fault = SimPath.Fault.CUT;
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
  public void reset(String from, String to) {
    links.link(from, to).fault = SimPath.Fault.RESET;
    breakOpen(from, to);
  }

  /** Open calls that way break once; later ones are sound. */
  public void breakOnce(String from, String to) {
    breakOpen(from, to);
  }

  /** Calls that way fail UNSENT at once; open ones go on. */
  public void refuse(String from, String to) {
    links.link(from, to).fault = SimPath.Fault.REFUSE;
  }

  /** Ends a cut, reset or refusal; delay and loss stay. */
  public void heal(String from, String to) {
    links.link(from, to).fault = SimPath.Fault.NONE;
  }

  /** Ends the faults of both directions. */
  public void healBoth(String one, String other) {
    heal(one, other);
    heal(other, one);
  }

  /** Ends every cut, reset and refusal; delays and losses stay. */
  public void healAll() {
    links.heal();
  }

  /** Kills the process; whether its callers see the connection end is drawn. */
  public void kill(String address) {
    kill(address, random.nextBoolean());
  }

  /**
   * Kills the process: nothing of it runs any more, and its messages under way are lost or not.
   *
   * @param seen true: open calls to it break, later ones are UNSENT at once (the process died);
   *     false: open ones are SILENT, later ones UNSENT after {@link #CONNECT_WITHIN} (the machine
   *     lost its power)
   */
  public void kill(String address, boolean seen) {
    Node node = nodes.remove(address);
    if (node == null) {
      return;
    }
    node.die();
    dark.put(address, !seen);
    if (seen) {
      for (Node other : new ArrayList<>(nodes.values())) {
        breakOpen(other.address(), address);
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
  public long sent() {
    return sent;
  }

  /** From now on the bytes of all messages from and to that address are counted, from 0. */
  public void countBytes(String address) {
    record.countBytes(address);
  }

  /** Bytes of messages, without frames, since {@link #countBytes}. */
  public long countedBytes() {
    return record.countedBytes();
  }

  /** How many messages vanished by loss or by a cut. */
  public long lost() {
    return lost;
  }

  /** What handlers failed with that is no {@link ElmsailException}: a good run has none. */
  public List<Throwable> faults() {
    return record.faults();
  }

  /** Of all that was sent, when, and to whom: equal for two runs that went alike. */
  public long digest() {
    return record.digest();
  }

  <A> CompletableFuture<A> call(
      Node from, String to, Object request, Class<A> answer, long timeoutMs) {
    SimCall call = new SimCall(from, to, answer);
    // The future is completed with objects of this class alone: SimCall checks each answer.
    @SuppressWarnings("unchecked")
    CompletableFuture<A> future = (CompletableFuture<A>) call.future;
    if (!from.alive()) {
      return future;
    }
    from.open.add(call);
    call.timer = from.timers().after(Math.max(0, timeoutMs), () -> call.fail(ErrorCode.SILENT));
    Object copy;
    try {
      copy = codec.copy(request);
    } catch (ElmsailException e) {
      from.timers().soon(() -> call.fail(e.code()));
      return future;
    }
    if (from.address().equals(to)) {
      from.timers().soon(() -> handle(call, from, copy));
    } else {
      send(call, copy);
    }
    return future;
  }

  private void send(SimCall call, Object request) {
    Node from = call.from;
    SimPath link = links.link(from.address(), call.to);
    Node target = nodes.get(call.to);
    record.sent(from.address(), call.to, request, timers.now());
    if (link.fault == SimPath.Fault.REFUSE) {
      from.timers().soon(() -> call.fail(ErrorCode.UNSENT));
    } else if (link.fault == SimPath.Fault.RESET) {
      from.timers().soon(() -> call.fail(ErrorCode.BROKEN));
      if (random.nextBoolean()) {
        carry(from.address(), call.to, request, () -> arrive(call, target, request));
      }
    } else if (link.fault == SimPath.Fault.NONE && target == null) {
      boolean silent = dark.getOrDefault(call.to, false);
      from.timers()
          .after(silent ? CONNECT_WITHIN : link.draw(random), () -> call.fail(ErrorCode.UNSENT));
    } else {
      carry(from.address(), call.to, request, () -> arrive(call, target, request));
    }
  }

  /** The connection led to that one process: another at the same address does not know it. */
  private void arrive(SimCall call, Node target, Object request) {
    if (target == null || !target.alive()) {
      if (!dark.getOrDefault(call.to, false)) {
        carry(
            call.to,
            call.from.address(),
            null,
            () -> call.from.deliver(() -> call.fail(ErrorCode.BROKEN)));
      }
      return;
    }
    target.deliver(() -> handle(call, target, request));
  }

  private void handle(SimCall call, Node target, Object request) {
    target
        .answers()
        .handle(request)
        .whenComplete(
            (answer, thrown) -> {
              if (!target.alive()) {
                return;
              }
              ErrorCode code = null;
              Object copy = null;
              if (thrown != null) {
                code = ElmsailException.codeOf(thrown);
                record.failed(thrown);
              } else {
                try {
                  copy = codec.copy(answer);
                } catch (ElmsailException e) {
                  code = e.code();
                }
              }
              answer(call, target, copy, code);
            });
  }

  private void answer(SimCall call, Node target, Object answer, ErrorCode code) {
    Runnable end =
        () -> {
          if (code != null) {
            call.fail(code);
          } else {
            call.answered(answer);
          }
        };
    if (call.from == target) {
      target.timers().soon(end);
    } else {
      record.sent(target.address(), call.from.address(), answer, timers.now());
      carry(target.address(), call.from.address(), answer, () -> call.from.deliver(end));
    }
  }

  private void carry(String from, String to, Object message, Runnable arrival) {
    SimPath link = links.link(from, to);
    sent++;
    boolean vanishes = random.nextDouble() < link.loss;
    long ms = link.draw(random) + links.uplinkMs(from, timers.now(), message);
    if (vanishes || link.fault == SimPath.Fault.CUT) {
      lost++;
      return;
    }
    timers.after(
        ms,
        () -> {
          if (link.fault == SimPath.Fault.CUT) {
            lost++;
          } else {
            arrival.run();
          }
        });
  }

  private void breakOpen(String from, String to) {
    Node node = nodes.get(from);
    if (node == null) {
      return;
    }
    for (SimCall call : new ArrayList<>(node.open)) {
      if (call.to.equals(to)) {
        timers.soon(() -> node.deliver(() -> call.fail(ErrorCode.BROKEN)));
      }
    }
  }
}
