package elmsail.simulation;

import elmsail.rpc.Codec;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/**
 * A network of processes in one test, all of it from one seed and on one clock that is moved by
 * hand. Faults are of directed links: what goes from one address to another, asks and answers
 * alike. Messages may overtake each other. All are copied through the codec, so nothing is shared.
 */
public final class SimNet {

  /** Ms until a call to a machine without power fails, as its connection does not come about. */
  public static final long CONNECT_WITHIN = 700;

  private record ProcessSignals(String from, String to) {}

  private final Random random;
  private final ManualTimers timers;
  private final Codec codec = new Codec();
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final Map<ProcessSignals, SimPath> ways = new LinkedHashMap<>();

  /** Addresses of processes that died without a word. */
  private final Map<String, Boolean> dark = new LinkedHashMap<>();

  private long leastMs = 1;
  private long mostMs = 5;
  private double loss;
  private long sent;
  private long lost;
  private long digest;
  private final List<Throwable> faults = new ArrayList<>();

  /** The process whose traffic is counted; null: none. */
  private String counted;

  private long countedBytes;

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
    leastMs = least;
    mostMs = most;
    for (SimPath way : ways.values()) {
      way.delay(least, most);
    }
  }

  public void delay(String from, String to, long least, long most) {
    way(from, to).delay(least, most);
  }

  /** The part of messages, 0 to 1, that vanish on all links. */
  public void loss(double part) {
    loss = part;
    for (SimPath way : ways.values()) {
      way.loss = part;
    }
  }

  public void loss(String from, String to, double part) {
    way(from, to).loss = part;
  }

  /** Messages that way vanish, also those under way. */
  public void cut(String from, String to) {
    way(from, to).fault = SimPath.Fault.CUT;
  }

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
   * Calls that way, also open ones, break at once; whether the ask reaches the peer nonetheless is
   * drawn.
   */
  public void reset(String from, String to) {
    way(from, to).fault = SimPath.Fault.RESET;
    breakOpen(from, to);
  }

  /** Open calls that way break once; later ones are sound. */
  public void breakOnce(String from, String to) {
    breakOpen(from, to);
  }

  /** Calls that way fail UNSENT at once; open ones go on. */
  public void refuse(String from, String to) {
    way(from, to).fault = SimPath.Fault.REFUSE;
  }

  /** ProcessSignals a cut, reset or refusal; delay and loss stay. */
  public void heal(String from, String to) {
    way(from, to).fault = SimPath.Fault.NONE;
  }

  public void healBoth(String one, String other) {
    heal(one, other);
    heal(other, one);
  }

  public void healAll() {
    for (SimPath way : ways.values()) {
      way.fault = SimPath.Fault.NONE;
    }
  }

  /** Kills the process; whether those who called it are told is drawn. */
  public void kill(String address) {
    kill(address, random.nextBoolean());
  }

  /**
   * Kills the process: nothing of it runs any more, and its messages under way are lost or not.
   *
   * @param response true: open calls to it break, later ones are UNSENT at once (the process died);
   *     false: open ones are SILENT, later ones UNSENT after {@link #CONNECT_WITHIN} (the machine
   *     lost its power)
   */
  public void kill(String address, boolean response) {
    Node node = nodes.remove(address);
    if (node == null) {
      return;
    }
    node.die();
    dark.put(address, !response);
    if (response) {
      for (Node other : new ArrayList<>(nodes.values())) {
        breakOpen(other.address(), address);
      }
    }
  }

  public void freeze(String address) {
    nodes.get(address).freeze();
  }

  /** What was held runs at the present time, in its order. */
  public void thaw(String address) {
    nodes.get(address).thaw();
  }

  public long sent() {
    return sent;
  }

  /** From now on the bytes of all messages from and to that address are counted, from 0. */
  public void countBytes(String address) {
    counted = address;
    countedBytes = 0;
  }

  /** Bytes of messages, without frames, since {@link #countBytes}. */
  public long countedBytes() {
    return countedBytes;
  }

  public long lost() {
    return lost;
  }

  /** What handlers failed with that is no {@link ElmsailException}: a good run has none. */
  public List<Throwable> faults() {
    return faults;
  }

  /** Of all that was sent, when, and to whom: equal for two runs that went alike. */
  public long digest() {
    return digest;
  }

  <A> CompletableFuture<A> call(
      Node from, String to, Object request, Class<A> answer, long timeoutMs) {
    SimCall call = new SimCall(from, to, answer);
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
    SimPath way = way(from.address(), call.to);
    Node target = nodes.get(call.to);
    note(from.address(), call.to, request);
    if (way.fault == SimPath.Fault.REFUSE) {
      from.timers().soon(() -> call.fail(ErrorCode.UNSENT));
    } else if (way.fault == SimPath.Fault.RESET) {
      from.timers().soon(() -> call.fail(ErrorCode.BROKEN));
      if (random.nextBoolean()) {
        carry(from.address(), call.to, () -> arrive(call, target, request));
      }
    } else if (way.fault == SimPath.Fault.NONE && target == null) {
      boolean silent = dark.getOrDefault(call.to, false);
      from.timers()
          .after(silent ? CONNECT_WITHIN : way.draw(random), () -> call.fail(ErrorCode.UNSENT));
    } else {
      carry(from.address(), call.to, () -> arrive(call, target, request));
    }
  }

  /** The connection led to that one process: another at the same address does not know it. */
  private void arrive(SimCall call, Node target, Object request) {
    if (target == null || !target.alive()) {
      if (!dark.getOrDefault(call.to, false)) {
        carry(
            call.to,
            call.from.address(),
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
                keepFault(thrown);
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

  private void keepFault(Throwable thrown) {
    Throwable cause = thrown;
    while (cause != null && !(cause instanceof ElmsailException)) {
      cause = cause.getCause();
    }
    if (cause == null) {
      faults.add(thrown);
    }
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
      note(target.address(), call.from.address(), answer);
      carry(target.address(), call.from.address(), () -> call.from.deliver(end));
    }
  }

  private void carry(String from, String to, Runnable arrival) {
    SimPath way = way(from, to);
    sent++;
    boolean vanishes = random.nextDouble() < way.loss;
    long ms = way.draw(random);
    if (vanishes || way.fault == SimPath.Fault.CUT) {
      lost++;
      return;
    }
    timers.after(
        ms,
        () -> {
          if (way.fault == SimPath.Fault.CUT) {
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

  private SimPath way(String from, String to) {
    return ways.computeIfAbsent(
        new ProcessSignals(from, to),
        ends -> {
          SimPath way = new SimPath();
          way.delay(leastMs, mostMs);
          way.loss = loss;
          return way;
        });
  }

  private void note(String from, String to, Object message) {
    String type = message == null ? "" : message.getClass().getSimpleName();
    digest = digest * 31 + (from + to + type).hashCode();
    digest = digest * 31 + timers.now();
    if (message != null && (from.equals(counted) || to.equals(counted))) {
      countedBytes += codec.size(message);
    }
  }
}
