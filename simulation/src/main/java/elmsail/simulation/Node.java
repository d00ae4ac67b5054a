package elmsail.simulation;

import elmsail.rpc.Caller;
import elmsail.rpc.HandlerTable;
import elmsail.rpc.RequestHandlers;
import elmsail.runtime.Timers;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * One process of a {@link SimNet}, from its start until it is killed. Once it is dead nothing of it
 * runs any more; while it is frozen, its messages and timers are held, and run when it is thawed:
 * what came over the network first, as a loop looks at its sockets before its timers.
 */
public final class Node implements Caller {

  private final SimNet net;
  private final String address;
  private final HandlerTable answers = new HandlerTable();
  private final Timers base;
  private final Timers timers = new OwnTimers();
  private final Queue<Runnable> heldMessages = new ArrayDeque<>();
  private final Queue<Runnable> heldTimers = new ArrayDeque<>();
  final Set<SimCall> open = new LinkedHashSet<>();
  private boolean dead;
  private boolean frozen;

  Node(SimNet net, String address, Timers base) {
    this.net = net;
    this.address = address;
    this.base = base;
  }

  /** Where the process answers, {@code ip:port}. */
  public String address() {
    return address;
  }

  /** Whether the process has not been killed. */
  public boolean alive() {
    return !dead;
  }

  /** Whether its messages and timers are held at present. */
  public boolean frozen() {
    return frozen;
  }

  /** What the process calls others by. */
  public Caller caller() {
    return this;
  }

  /** Where the process registers what it answers. */
  public RequestHandlers answering() {
    return answers;
  }

  /** This process's timers; its clock keeps running while it is frozen. */
  public Timers timers() {
    return timers;
  }

  /** Of a dead process it never completes. */
  @Override
  public <A> CompletableFuture<A> call(
      String peer, Object request, Class<A> answer, long timeoutMs) {
    return net.call(this, peer, request, answer, timeoutMs);
  }

  HandlerTable answers() {
    return answers;
  }

  /** Something came over the network. */
  void deliver(Runnable message) {
    if (dead) {
      return;
    }
    if (frozen) {
      heldMessages.add(message);
    } else {
      message.run();
    }
  }

  void die() {
    dead = true;
    frozen = false;
    heldMessages.clear();
    heldTimers.clear();
    open.clear();
  }

  void freeze() {
    frozen = !dead;
  }

  void thaw() {
    frozen = false;
    List<Runnable> held = new ArrayList<>(heldMessages);
    held.addAll(heldTimers);
    heldMessages.clear();
    heldTimers.clear();
    for (Runnable one : held) {
      timers.soon(one);
    }
  }

  private final class OwnTimers implements Timers {
    @Override
    public long now() {
      return base.now();
    }

    @Override
    public Timer after(long ms, Runnable then) {
      OwnTimer timer = new OwnTimer(then);
      timer.set = base.after(ms, timer);
      return timer;
    }

    @Override
    public void soon(Runnable then) {
      after(0, then);
    }
  }

  private final class OwnTimer implements Timers.Timer, Runnable {
    private final Runnable then;
    private Timers.Timer set;
    private boolean cancelled;

    OwnTimer(Runnable then) {
      this.then = then;
    }

    @Override
    public void run() {
      if (dead || cancelled) {
        return;
      }
      if (frozen) {
        heldTimers.add(this);
      } else {
        then.run();
      }
    }

    @Override
    public void cancel() {
      cancelled = true;
      set.cancel();
    }
  }
}
