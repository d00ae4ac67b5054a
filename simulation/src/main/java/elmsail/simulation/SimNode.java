package elmsail.simulation;

import elmsail.rpc.HandlerRegistry;
import elmsail.rpc.RequestHandlers;
import elmsail.rpc.RpcClient;
import elmsail.runtime.Timers;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * One process of a {@link SimNetwork}, from its start until it is killed. Once it is dead nothing
 * of it runs any more; while it is frozen, its messages and timers are held, and run when it is
 * thawed: what came over the network first, as a loop looks at its sockets before its timers.
 */
public final class SimNode implements RpcClient {

  private final SimNetwork net;
  private final String address;
  private final HandlerRegistry handlers = new HandlerRegistry();
  private final Timers networkTimers;
  private final Timers timers = new NodeTimers();
  private final Queue<Runnable> deferredMessages = new ArrayDeque<>();
  private final Queue<Runnable> deferredTimers = new ArrayDeque<>();
  final Set<SimCall> openCalls = new LinkedHashSet<>();
  private boolean dead;
  private boolean isFrozen;

  SimNode(SimNetwork net, String address, Timers base) {
    this.net = net;
    this.address = address;
    this.networkTimers = base;
  }

  /** Where the process answers, {@code ip:port}. */
  public String address() {
    return address;
  }

  /** Whether the process has not been killed. */
  public boolean isAlive() {
    return !dead;
  }

  /** Whether its messages and timers are held at present. */
  public boolean isFrozen() {
    return isFrozen;
  }

  /** What the process calls others by. */
  public RpcClient rpcClient() {
    return this;
  }

  /** Where the process registers what it answers. */
  public RequestHandlers requestHandlers() {
    return handlers;
  }

  /** This process's timers; its clock keeps running while it is frozen. */
  public Timers timers() {
    return timers;
  }

  /** Of a dead process it never completes. */
  @Override
  public <A> CompletableFuture<A> call(
      String peer, Object request, Class<A> responseType, long timeoutMs) {
    return net.call(this, peer, request, responseType, timeoutMs);
  }

  HandlerRegistry handlers() {
    return handlers;
  }

  /** Something came over the network. */
  void deliver(Runnable message) {
    if (dead) {
      return;
    }
    if (isFrozen) {
      deferredMessages.add(message);
    } else {
      message.run();
    }
  }

  void kill() {
    dead = true;
    isFrozen = false;
    deferredMessages.clear();
    deferredTimers.clear();
    openCalls.clear();
  }

  void freeze() {
    isFrozen = !dead;
  }

  void thaw() {
    isFrozen = false;
    List<Runnable> held = new ArrayList<>(deferredMessages);
    held.addAll(deferredTimers);
    deferredMessages.clear();
    deferredTimers.clear();
    for (Runnable one : held) {
      timers.execute(one);
    }
  }

  private final class NodeTimers implements Timers {
    @Override
    public long now() {
      return networkTimers.now();
    }

    @Override
    public Timer schedule(long ms, Runnable task) {
      NodeTimer timer = new NodeTimer(task);
      timer.underlying = networkTimers.schedule(ms, timer);
      return timer;
    }

    @Override
    public void execute(Runnable task) {
      schedule(0, task);
    }
  }

  private final class NodeTimer implements Timers.Timer, Runnable {
    private final Runnable task;
    private Timers.Timer underlying;
    private boolean cancelled;

    NodeTimer(Runnable task) {
      this.task = task;
    }

    @Override
    public void run() {
      if (dead || cancelled) {
        return;
      }
      if (isFrozen) {
        deferredTimers.add(this);
      } else {
        task.run();
      }
    }

    @Override
    public void cancel() {
      cancelled = true;
      underlying.cancel();
    }
  }
}
