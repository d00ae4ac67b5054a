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
 * One process of a {@link SimNetwork}, from its start until it is killed. Nothing of a killed
 * process runs any more. While a process is frozen, or has spent its share of the processor, its
 * messages and timers are deferred; when it runs again the messages come first, as an event loop
 * reads its sockets before its timers.
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
  private boolean hasSpentQuota;

  SimNode(SimNetwork net, String address, Timers base) {
    this.net = net;
    this.address = address;
    this.networkTimers = base;
  }

  /** The address of the process, {@code ip:port}. */
  public String address() {
    return address;
  }

  /** Whether the process has not been killed. */
  public boolean isAlive() {
    return !dead;
  }

  /** Whether its messages and timers are deferred at present. */
  public boolean isFrozen() {
    return isFrozen;
  }

  /** The client by which the process calls others. */
  public RpcClient rpcClient() {
    return this;
  }

  /** Where the process registers its request handlers. */
  public RequestHandlers requestHandlers() {
    return handlers;
  }

  /** The timers of this process; its clock continues while it is frozen. */
  public Timers timers() {
    return timers;
  }

  /** As of any client; the future of a killed process never completes. */
  @Override
  public <A> CompletableFuture<A> call(
      String peer, Object request, Class<A> responseType, long timeoutMs) {
    return net.call(this, peer, request, responseType, timeoutMs);
  }

  HandlerRegistry handlers() {
    return handlers;
  }

  /** A message has arrived over the network. */
  void deliver(Runnable message) {
    if (dead) {
      return;
    }
    if (standsStill()) {
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
    runDeferred();
  }

  void spendQuota() {
    hasSpentQuota = !dead;
  }

  void renewQuota() {
    hasSpentQuota = false;
    runDeferred();
  }

  private boolean standsStill() {
    return isFrozen || hasSpentQuota;
  }

  private void runDeferred() {
    if (standsStill()) {
      return;
    }
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
      if (standsStill()) {
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
