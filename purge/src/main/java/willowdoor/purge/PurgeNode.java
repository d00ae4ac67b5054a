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
 * One front door's part in keeping answers and purging them. All methods are called on one thread,
 * on which answers are written too, so that nothing comes between a check and its write.
 *
 * @param <A> an answer that may be kept
 */
public final class PurgeNode<A> {
  /** How often {@link #tick} is due. */
  public static final long TICK_MS = 5;

  /**
   * The settings of a node.
   *
   * @param fleet who is there, and the times
   * @param name of the fleet: those of another name are not heard
   * @param self this front door's number
   * @param cacheBytes of memory for kept answers, about
   * @param cacheTtlMs how long an answer is served at most
   */
  public record Settings(Fleet fleet, String name, int self, long cacheBytes, long cacheTtlMs) {
    public Settings {
      if (!fleet.members().contains(self) || cacheBytes < 1 || cacheTtlMs < 1) {
        throw new IllegalArgumentException(
            "a member of the fleet, and something to keep for some time");
      }
    }
  }

  private final int self;
  private final Timing timing;
  private final LongSupplier clock;
  private final Datagrams datagrams;
  private final Codec codec;
  private final LeaseHolder holder;

  /** Null where this front door is none. */
  private final Acceptor acceptor;

  private final Coordinator coordinator;
  private final AnswerCache<A> cache;
  private final Map<Long, Consumer<Outcome>> callers = new HashMap<>();
  private long lastCaller;
  private long renewAt;
  private final ArrayDeque<Message> toSelf = new ArrayDeque<>();
  private final Map<Codec.Fault, Long> dropped = new EnumMap<>(Codec.Fault.class);

  /**
   * @param random draws the number of this process; not seeded alike in two of them
   * @param clock monotonic ms of this process, not negative, that go on while it is stopped
   * @param bytes how many an answer takes
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

  /** What is kept; the times that it asks for are this node's {@link #now}. */
  public AnswerCache<A> cache() {
    return cache;
  }

  public long now() {
    return clock.getAsLong();
  }

  /** Whether answers may be served from what is kept. */
  public boolean hasLease() {
    return holder.hasLease(now());
  }

  /** Datagrams that were dropped, by why. */
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
   * A customer's purge.
   *
   * @param timeoutMs the caller's time from now, above nought
   * @param answer called once, on this thread, unless {@link #removeCaller} comes first
   * @return for {@link #removeCaller}
   */
  public long purge(PurgeId id, Scope scope, long timeoutMs, Consumer<Outcome> answer) {
    long now = now();
    callers.put(++lastCaller, answer);
    long caller = lastCaller;
    execute(coordinator.purge(now, caller, id, scope, now + timeoutMs));
    deliverToSelf();
    return caller;
  }

  /** How a purge of this customer goes; otherwise as {@link #purge}. */
  public long queryStatus(PurgeId id, String customer, long timeoutMs, Consumer<Outcome> answer) {
    long now = now();
    callers.put(++lastCaller, answer);
    long caller = lastCaller;
    execute(coordinator.queryStatus(now, caller, id, customer, now + timeoutMs));
    deliverToSelf();
    return caller;
  }

  /** The caller has gone. */
  public void removeCaller(long caller) {
    callers.remove(caller);
    coordinator.removeCaller(caller);
  }

  /** Each part takes what is meant for it; the clock is read when the message is there. */
  private void deliver(int from, Message message) {
    List<Effect> effects = new ArrayList<>(holder.onMessage(now(), from, message));
    if (acceptor != null) {
      effects.addAll(acceptor.onMessage(now(), from, message));
    }
    effects.addAll(coordinator.onMessage(now(), from, message));
    execute(effects);
  }

  /** What this front door sends to itself does not go through the network. */
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
