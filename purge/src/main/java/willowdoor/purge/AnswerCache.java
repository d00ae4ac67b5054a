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
 * Caches answers of template servers by customer and target. An answer is served only while the
 * {@link LeaseHolder} permits this. Concurrent requests for the same target share one request to a
 * server. Used by one thread; times are in ms on this process's monotonic clock, not negative.
 *
 * @param <A> an answer, which is not modified any more
 */
public final class AnswerCache<A> {
  static final int MAX_FILLS = 4_096;
  static final int MAX_WAITING = 4_096;
  static final int MAX_WAITING_PER_FILL = 64;

  /** The approximate size of an entry in addition to its answer and its text. */
  private static final int ENTRY_BYTES = 300;

  private record Key(String customer, String target) {}

  private record Entry<A>(A answer, LeaseHolder.Snapshot snapshot) {}

  /** How a request is to be handled. */
  public sealed interface Lookup<A> {}

  /** Respond with this cached answer. */
  public record Hit<A>(A answer) implements Lookup<A> {}

  /**
   * Send the request to a server, and report the result to the fill in every case, also on failure.
   */
  public record Miss<A>(Fill<A> fill) implements Lookup<A> {}

  /**
   * The request's {@link Waiter} will be called, unless {@link AnswerCache#removeWaiter} is called
   * first.
   */
  public record Queued<A>() implements Lookup<A> {}

  /** Send the request to a server; the result is not reported to the cache. */
  public record Bypass<A>() implements Lookup<A> {}

  /**
   * A request that waits for the answer to another request for the same target. It is called at
   * most once, and not after the time of the request is over.
   */
  public interface Waiter<A> {
    /** The result is a {@link Hit}, a {@link Miss} or, if there is no lease, a {@link Bypass}. */
    void onResult(Lookup<A> result);
  }

  private record QueuedWaiter<A>(Waiter<A> waiter, long endMs) {}

  /** A request to a server whose answer may be cached. */
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

    /** Reports that the complete answer of the server has arrived, with status 200. */
    public void done(long now, A answer) {
      cache.done(now, this, answer);
    }

    /**
     * Reports that there is no answer that may be cached. The next waiting request is sent to a
     * server.
     */
    public void failed(long now) {
      cache.failed(now, this);
    }
  }

  private final LeaseHolder holder;
  private final long ttlMs;
  private final Cache<Key, Entry<A>> entries;
  private final Map<Key, Fill<A>> fills = new HashMap<>();

  /** By customer, the targets that are cached. */
  private final Map<String, TreeSet<String>> targetsByCustomer = new HashMap<>();

  private int waiting;
  private long nowMs;

  /**
   * @param maxBytes the largest total size of the cached answers, at least 1
   * @param ttlMs how long an answer is served, counted from the snapshot before its request to the
   *     server; at least 1
   * @param bytes the size of an answer in bytes
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
   * Looks up the answer to a request that may be served from the cache.
   *
   * @param endMs when the client stops waiting
   * @param waiter called later if the result is {@link Queued}; {@link #removeWaiter} must be
   *     called if the request ends earlier
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

  /**
   * Removes a waiting request that has ended, for instance because its time is over or its client
   * has disconnected.
   */
  public void removeWaiter(String customer, String target, Waiter<A> waiter) {
    Fill<A> fill = fills.get(new Key(customer, target));
    if (fill != null && fill.waiting.removeIf(queued -> queued.waiter == waiter)) {
      waiting--;
    }
  }

  /** Removes the answers that a purge covers. */
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

  /** The number of cached targets, whether or not they may be served. */
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
    // A later fill has replaced this one and has taken over its waiting requests.
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
    // Nothing is cached without a lease: each waiting request goes to a server by itself.
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
