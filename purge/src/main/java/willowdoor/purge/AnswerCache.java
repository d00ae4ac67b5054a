package willowdoor.purge;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import com.github.benmanes.caffeine.cache.RemovalCause;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;

/**
 * Answers of template servers by customer and target, served only where the {@link LeaseHolder}
 * lets it, and one request to a server for many that ask the same at once. Of one thread; times are
 * its process's monotonic ms, not negative.
 *
 * @param <A> an answer, which is not changed any more
 */
public final class AnswerCache<A> {
  static final int MAX_FILLS = 4_096;
  static final int MAX_WAITING = 4_096;
  static final int MAX_WAITING_PER_FILL = 64;

  /** What an entry takes beside its answer and its text, about. */
  private static final int ENTRY_BYTES = 300;

  private record Key(String customer, String target) {}

  private record Entry<A>(A answer, LeaseHolder.Snapshot snapshot) {}

  /** What is to be done with a request. */
  public sealed interface Lookup<A> {}

  /** Answer it so. */
  public record Hit<A>(A answer) implements Lookup<A> {}

  /** Ask a server, and tell the fill how that ended, whatever happens. */
  public record Miss<A>(Fill<A> fill) implements Lookup<A> {}

  /** Its {@link Waiter} will be called, unless {@link AnswerCache#removeWaiter} comes first. */
  public record Queued<A>() implements Lookup<A> {}

  /** Ask a server and tell nobody. */
  public record Bypass<A>() implements Lookup<A> {}

  /**
   * A request that waits for what another one is asking. One of the two is called, once, and none
   * after its time.
   */
  public interface Waiter<A> {
    /** {@code Hit} or {@code Lead}. */
    void onResult(Lookup<A> result);
  }

  private record QueuedWaiter<A>(Waiter<A> waiter, long endMs) {}

  /** A request to a server whose answer may be kept. */
  public static final class Fill<A> {
    private final AnswerCache<A> cache;
    private final Key key;
    private final LeaseHolder.Snapshot snapshot;
    private final long endMs;
    private final ArrayDeque<QueuedWaiter<A>> waiting;

    private Fill(
        AnswerCache<A> owner,
        Key key,
        LeaseHolder.Snapshot snapshot,
        long endMs,
        ArrayDeque<QueuedWaiter<A>> waiting) {
      this.cache = owner;
      this.key = key;
      this.snapshot = snapshot;
      this.endMs = endMs;
      this.waiting = waiting;
    }

    /** The server's answer with status 200 is here, whole. */
    public void done(long now, A answer) {
      cache.done(now, this, answer);
    }

    /** There is none that may be kept. The next that waits asks. */
    public void failed(long now) {
      cache.failed(now, this);
    }
  }

  private final LeaseHolder holder;
  private final long ttlMs;
  private final Cache<Key, Entry<A>> entries;
  private final Map<Key, Fill<A>> fills = new HashMap<>();

  /** By customer, what is kept. */
  private final Map<String, TreeSet<String>> targetsByCustomer = new HashMap<>();

  private int waiting;
  private long nowMs;

  /**
   * @param maxBytes of all that is kept, from 1
   * @param ttlMs how long an answer is served, from when its server was asked; from 1
   * @param bytes how many an answer takes
   */
  AnswerCache(LeaseHolder holder, long maxBytes, long ttlMs, ToIntFunction<A> bytes) {
    this.holder = holder;
    this.ttlMs = ttlMs;
    entries =
        Caffeine.newBuilder()
            .maximumWeight(maxBytes)
            .weigher(
                (Key key, Entry<A> entry) ->
                    ENTRY_BYTES
                        + key.customer.length()
                        + 2 * key.target.length()
                        + bytes.applyAsInt(entry.answer))
            .expireAfterWrite(Duration.ofMillis(ttlMs))
            .ticker(() -> TimeUnit.MILLISECONDS.toNanos(nowMs))
            .executor(Runnable::run)
            .removalListener((Key key, Entry<A> entry, RemovalCause cause) -> removed(key, cause))
            .build();
  }

  /**
   * A request of a kind that may be kept.
   *
   * @param endMs when its client stops waiting
   * @param waiter used where the answer is {@link Queued}; {@link #removeWaiter} is due when the
   *     request ends otherwise
   */
  public Lookup<A> find(long now, String customer, String target, long endMs, Waiter<A> waiter) {
    nowMs = now;
    LeaseHolder.Snapshot snapshot = holder.snapshot(now);
    if (snapshot == null || !Targets.isCacheable(target)) {
      return new Bypass<>();
    }
    Key key = new Key(customer, target);
    Entry<A> entry = entries.getIfPresent(key);
    if (entry != null && isServable(now, key, entry.snapshot)) {
      return new Hit<>(entry.answer);
    }
    Fill<A> fill = fills.get(key);
    if (fill == null || fill.endMs <= now) {
      if (fill == null && fills.size() >= MAX_FILLS) {
        return new Bypass<>();
      }
      return startFill(key, snapshot, endMs, fill == null ? new ArrayDeque<>() : fill.waiting);
    }
    if (waiting >= MAX_WAITING || fill.waiting.size() >= MAX_WAITING_PER_FILL) {
      return new Bypass<>();
    }
    fill.waiting.add(new QueuedWaiter<>(waiter, endMs));
    waiting++;
    return new Queued<>();
  }

  /** A request that waits has ended, for instance as its time is over or its client has gone. */
  public void removeWaiter(String customer, String target, Waiter<A> waiter) {
    Fill<A> fill = fills.get(new Key(customer, target));
    if (fill != null && fill.waiting.removeIf(queued -> queued.waiter == waiter)) {
      waiting--;
    }
  }

  /** Lets go of what a purge covers. */
  void drop(Scope scope) {
    List<Key> covered = new ArrayList<>();
    for (String target :
        targetsByCustomer.getOrDefault(scope.customer(), new TreeSet<>()).tailSet(scope.prefix())) {
      if (!target.startsWith(scope.prefix())) {
        break;
      }
      covered.add(new Key(scope.customer(), target));
    }
    entries.invalidateAll(covered);
  }

  void dropAll() {
    entries.invalidateAll();
  }

  /** Targets that are kept, and whether or not they may be served. */
  int size() {
    return targetsByCustomer.values().stream().mapToInt(TreeSet::size).sum();
  }

  private boolean isServable(long now, Key key, LeaseHolder.Snapshot snapshot) {
    return now < snapshot.takenAtMs() + ttlMs
        && holder.mayServe(now, key.customer, key.target, snapshot);
  }

  private Lookup<A> startFill(
      Key key, LeaseHolder.Snapshot snapshot, long endMs, ArrayDeque<QueuedWaiter<A>> queued) {
    Fill<A> fill = new Fill<>(this, key, snapshot, endMs, queued);
    fills.put(key, fill);
    return new Miss<>(fill);
  }

  private void done(long now, Fill<A> fill, A answer) {
    nowMs = now;
    if (!isServable(now, fill.key, fill.snapshot)) {
      failed(now, fill);
      return;
    }
    // One that a later one took over brings nothing, and nobody waits for it.
    if (!fills.remove(fill.key, fill)) {
      return;
    }
    targetsByCustomer
        .computeIfAbsent(fill.key.customer, customer -> new TreeSet<>())
        .add(fill.key.target);
    entries.put(fill.key, new Entry<>(answer, fill.snapshot));
    waiting -= fill.waiting.size();
    for (QueuedWaiter<A> queued : fill.waiting) {
      if (now < queued.endMs) {
        queued.waiter.onResult(new Hit<>(answer));
      }
    }
  }

  private void failed(long now, Fill<A> fill) {
    nowMs = now;
    if (!fills.remove(fill.key, fill)) {
      return;
    }
    QueuedWaiter<A> next = fill.waiting.poll();
    while (next != null && next.endMs <= now) {
      waiting--;
      next = fill.waiting.poll();
    }
    if (next == null) {
      return;
    }
    waiting--;
    LeaseHolder.Snapshot snapshot = holder.snapshot(now);
    if (snapshot != null) {
      next.waiter.onResult(startFill(fill.key, snapshot, next.endMs, fill.waiting));
      return;
    }
    // Without a lease nothing is kept: each asks for itself.
    waiting -= fill.waiting.size();
    next.waiter.onResult(new Bypass<>());
    for (QueuedWaiter<A> queued : fill.waiting) {
      if (now < queued.endMs) {
        queued.waiter.onResult(new Bypass<>());
      }
    }
  }

  private void removed(Key key, RemovalCause cause) {
    TreeSet<String> kept = targetsByCustomer.get(key.customer);
    if (cause != RemovalCause.REPLACED
        && kept != null
        && kept.remove(key.target)
        && kept.isEmpty()) {
      targetsByCustomer.remove(key.customer);
    }
  }
}
