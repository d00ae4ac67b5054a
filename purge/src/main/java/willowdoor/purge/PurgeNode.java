package willowdoor.purge;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

/**
 * Caches answers at one gateway and takes part in purges. All methods are called on one thread.
 * Answers are written on this thread too, so that nothing happens between a check and the write of
 * the answer.
 *
 * @param <A> an answer that may be cached
 */
public final class PurgeNode<A> {
  /** The interval in ms at which {@link #tick} is due. */
  public static final long TICK_MS = 5;

  /**
   * The settings of a node.
   *
   * @param fleet the members of the fleet and the times
   * @param name the name of the fleet; datagrams of fleets with another name are dropped
   * @param self the number of this gateway
   * @param cacheBytes the approximate memory for cached answers
   * @param cacheTtlMs the longest time for which an answer is served
   */
  public record Settings(Fleet fleet, String name, int self, long cacheBytes, long cacheTtlMs) {
    public Settings {
      if (!fleet.members().contains(self) || cacheBytes < 1 || cacheTtlMs < 1) {
        throw new IllegalArgumentException(
            "self must be a member of the fleet, cacheBytes and cacheTtlMs at least 1");
      }
    }
  }

  private final int self;
  private final Timing timing;
  private final LongSupplier clock;
  private final Datagrams datagrams;
  private final Codec codec;
  private final LeaseHolder holder;

  /** Null if this gateway is not an acceptor. */
  private final Acceptor acceptor;

  private final Coordinator coordinator;
  private final AnswerCache<A> cache;
  private final Map<Long, Consumer<Outcome>> callers = new HashMap<>();
  private long lastCaller;
  private long renewAt;
  private final ArrayDeque<Message> toSelf = new ArrayDeque<>();
  private final Map<Codec.Fault, Long> dropped = new EnumMap<>(Codec.Fault.class);

  /**
   * @param random draws the number of this process; must not have the same seed in two processes
   * @param clock the monotonic clock of this process in ms, not negative, which goes on while the
   *     process is stopped
   * @param bytes the size of an answer in bytes
   */
  public PurgeNode(
      Settings settings,
      RandomGenerator random,
      LongSupplier clock,
      Datagrams datagrams,
      ToIntFunction<A> bytes) {
    self = settings.self;
    timing = settings.fleet.timing();
    this.clock = clock;
    this.datagrams = datagrams;
    codec = new Codec(settings.name, settings.fleet);
    long boot = random.nextLong(1, 1L << 32);
    renewAt = clock.getAsLong();
    holder = new LeaseHolder(settings.fleet, boot, Rules.NORMAL);
    acceptor =
        settings.fleet.acceptors().contains(self)
            ? new Acceptor(settings.fleet, boot, renewAt, Rules.NORMAL)
            : null;
    coordinator = new Coordinator(settings.fleet, self, boot, Rules.NORMAL);
    cache = new AnswerCache<>(holder, settings.cacheBytes, settings.cacheTtlMs, bytes);
  }

  /** The cache; the times that its methods take come from this node's {@link #now}. */
  public AnswerCache<A> cache() {
    return cache;
  }

  public long now() {
    return clock.getAsLong();
  }

  /** Whether answers may be served from the cache. */
  public boolean hasLease() {
    return holder.hasLease(now());
  }

  /** The number of dropped datagrams by reason. */
  public Map<String, Long> dropped() {
    Map<String, Long> counts = new HashMap<>();
    dropped.forEach((fault, count) -> counts.put(fault.name(), count));
    return counts;
  }

  public void onDatagram(int from, byte[] datagram) {
    try {
      deliver(from, codec.decode(datagram));
      deliverToSelf();
    } catch (Codec.DroppedDatagramException e) {
      dropped.merge(e.fault, 1L, Long::sum);
    }
  }

  public void tick() {
    long now = now();
    if (now >= renewAt) {
      renewAt = now + timing.renewMs();
      execute(holder.renew(now));
    }
    if (coordinator.busy()) {
      execute(coordinator.tick(now()));
    }
    deliverToSelf();
  }

  /**
   * Starts a purge of a customer.
   *
   * @param timeoutMs how long the caller waits from now on, above 0
   * @param answer called once, on this thread, unless {@link #removeCaller} is called first
   * @return the number of the caller for {@link #removeCaller}
   */
  public long purge(PurgeId id, Scope scope, long timeoutMs, Consumer<Outcome> answer) {
    long now = now();
    callers.put(++lastCaller, answer);
    long caller = lastCaller;
    execute(coordinator.purge(now, caller, id, scope, now + timeoutMs));
    deliverToSelf();
    return caller;
  }

  /**
   * Queries the status of a purge of this customer; parameters and result as for {@link #purge}.
   */
  public long queryStatus(PurgeId id, String customer, long timeoutMs, Consumer<Outcome> answer) {
    long now = now();
    callers.put(++lastCaller, answer);
    long caller = lastCaller;
    execute(coordinator.queryStatus(now, caller, id, customer, now + timeoutMs));
    deliverToSelf();
    return caller;
  }

  /** Removes a caller that has disconnected. */
  public void removeCaller(long caller) {
    callers.remove(caller);
    coordinator.removeCaller(caller);
  }

  /**
   * Passes a message to each component, which ignores messages of other components. The clock is
   * read after the message has arrived.
   */
  private void deliver(int from, Message message) {
    List<Effect> effects = new ArrayList<>(holder.onMessage(now(), from, message));
    if (acceptor != null) {
      effects.addAll(acceptor.onMessage(now(), from, message));
    }
    effects.addAll(coordinator.onMessage(now(), from, message));
    execute(effects);
  }

  /** Delivers the messages that this gateway has sent to itself; these do not pass the network. */
  private void deliverToSelf() {
    while (!toSelf.isEmpty()) {
      deliver(self, toSelf.poll());
    }
  }

  private void execute(List<Effect> effects) {
    for (Effect effect : effects) {
      if (effect instanceof Effect.Drop drop) {
        cache.drop(drop.scope());
      } else if (effect instanceof Effect.DropAll) {
        cache.dropAll();
      } else if (effect instanceof Effect.Send send && send.to() == self) {
        toSelf.add(send.message());
      } else if (effect instanceof Effect.Send send) {
        datagrams.send(send.to(), codec.encode(send.message()));
      } else if (effect instanceof Effect.Answer answer) {
        Consumer<Outcome> caller = callers.remove(answer.caller());
        if (caller != null) {
          caller.accept(answer.outcome());
        }
      }
    }
  }
}
