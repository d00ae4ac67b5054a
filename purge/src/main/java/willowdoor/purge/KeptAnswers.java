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
 * Answers of template servers by customer and target, served only where the {@link Holder} lets it,
 * and one request to a server for many that ask the same at once. Of one thread; times are its
 * process's monotonic ms, not negative.
 *
 * @param <A> an answer, which is not changed any more
 */
public final class KeptAnswers<A> {
  static final int MAX_FILLS = 4_096;
  static final int MAX_WAITING = 4_096;
  static final int MAX_WAITING_OF_ONE = 64;

  /** What an entry takes beside its answer and its text, about. */
  private static final int ENTRY_BYTES = 300;

  private record Key(String customer, String target) {}

  private record Entry<A>(A answer, Holder.Point point) {}

  /** What is to be done with a request. */
  public sealed interface Found<A> {}

  /** Answer it so. */
  public record Hit<A>(A answer) implements Found<A> {}

  /** Ask a server, and tell the fill how that ended, whatever happens. */
  public record Lead<A>(Fill<A> fill) implements Found<A> {}

  /** Its {@link Waiter} will be called, unless {@link KeptAnswers#leave} comes first. */
  public record Waits<A>() implements Found<A> {}

  /** Ask a server and tell nobody. */
  public record Alone<A>() implements Found<A> {}

  /**
   * A request that waits for what another one is asking. One of the two is called, once, and none
   * after its time.
   */
  public interface Waiter<A> {
    /** {@code Hit} or {@code Lead}. */
    void found(Found<A> found);
  }

  private record Waiting<A>(Waiter<A> waiter, long endMs) {}

  /** A request to a server whose answer may be kept. */
  public static final class Fill<A> {
    private final KeptAnswers<A> owner;
    private final Key key;
    private final Holder.Point point;
    private final long endMs;
    private final ArrayDeque<Waiting<A>> waiting;

    private Fill(
        KeptAnswers<A> owner,
        Key key,
        Holder.Point point,
        long endMs,
        ArrayDeque<Waiting<A>> waiting) {
      this.owner = owner;
      this.key = key;
      this.point = point;
      this.endMs = endMs;
      this.waiting = waiting;
    }

    /** The server's answer with status 200 is here, whole. */
    public void done(long now, A answer) {
      owner.done(now, this, answer);
    }

    /** There is none that may be kept. The next that waits asks. */
    public void failed(long now) {
      owner.failed(now, this);
    }
  }

  private final Holder holder;
  private final long liveMs;
  private final Cache<Key, Entry<A>> entries;
  private final Map<Key, Fill<A>> fills = new HashMap<>();

  /** By customer, what is kept. */
  private final Map<String, TreeSet<String>> targets = new HashMap<>();

  private int waiting;
  private long clock;

  /**
   * @param mostBytes of all that is kept, from 1
   * @param liveMs how long an answer is served, from when its server was asked; from 1
   * @param bytes how many an answer takes
   */
  KeptAnswers(Holder holder, long mostBytes, long liveMs, ToIntFunction<A> bytes) {
    this.holder = holder;
    this.liveMs = liveMs;
    entries =
        Caffeine.newBuilder()
            .maximumWeight(mostBytes)
            .weigher(
                (Key key, Entry<A> entry) ->
                    ENTRY_BYTES
                        + key.customer.length()
                        + 2 * key.target.length()
                        + bytes.applyAsInt(entry.answer))
            .expireAfterWrite(Duration.ofMillis(liveMs))
            .ticker(() -> TimeUnit.MILLISECONDS.toNanos(clock))
            .executor(Runnable::run)
            .removalListener((Key key, Entry<A> entry, RemovalCause cause) -> removed(key, cause))
            .build();
  }

  /**
   * A request of a kind that may be kept.
   *
   * @param endMs when its client stops waiting
   * @param waiter used where the answer is {@link Waits}; {@link #leave} is due when the request
   *     ends otherwise
   */
  public Found<A> find(long now, String customer, String target, long endMs, Waiter<A> waiter) {
    clock = now;
    Holder.Point point = holder.begin(now);
    if (point == null || !Targets.kept(target)) {
      return new Alone<>();
    }
    Key key = new Key(customer, target);
    Entry<A> entry = entries.getIfPresent(key);
    if (entry != null && serves(now, key, entry.point)) {
      return new Hit<>(entry.answer);
    }
    Fill<A> fill = fills.get(key);
    if (fill == null || fill.endMs <= now) {
      if (fill == null && fills.size() >= MAX_FILLS) {
        return new Alone<>();
      }
      return lead(key, point, endMs, fill == null ? new ArrayDeque<>() : fill.waiting);
    }
    if (waiting >= MAX_WAITING || fill.waiting.size() >= MAX_WAITING_OF_ONE) {
      return new Alone<>();
    }
    fill.waiting.add(new Waiting<>(waiter, endMs));
    waiting++;
    return new Waits<>();
  }

  /** A request that waits has ended, for instance as its time is over or its client has gone. */
  public void leave(String customer, String target, Waiter<A> waiter) {
    Fill<A> fill = fills.get(new Key(customer, target));
    if (fill != null && fill.waiting.removeIf(one -> one.waiter == waiter)) {
      waiting--;
    }
  }

  /** Lets go of what a purge covers. */
  void drop(Scope scope) {
    List<Key> covered = new ArrayList<>();
    for (String target :
        targets.getOrDefault(scope.customer(), new TreeSet<>()).tailSet(scope.prefix())) {
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
    return targets.values().stream().mapToInt(TreeSet::size).sum();
  }

  private boolean serves(long now, Key key, Holder.Point point) {
    return now < point.beganMs() + liveMs && holder.mayServe(now, key.customer, key.target, point);
  }

  private Found<A> lead(Key key, Holder.Point point, long endMs, ArrayDeque<Waiting<A>> behind) {
    Fill<A> fill = new Fill<>(this, key, point, endMs, behind);
    fills.put(key, fill);
    return new Lead<>(fill);
  }

  private void done(long now, Fill<A> fill, A answer) {
    clock = now;
    if (!serves(now, fill.key, fill.point)) {
      failed(now, fill);
      return;
    }
    // One that a later one took over brings nothing, and nobody waits for it.
    if (!fills.remove(fill.key, fill)) {
      return;
    }
    targets.computeIfAbsent(fill.key.customer, customer -> new TreeSet<>()).add(fill.key.target);
    entries.put(fill.key, new Entry<>(answer, fill.point));
    waiting -= fill.waiting.size();
    for (Waiting<A> one : fill.waiting) {
      if (now < one.endMs) {
        one.waiter.found(new Hit<>(answer));
      }
    }
  }

  private void failed(long now, Fill<A> fill) {
    clock = now;
    if (!fills.remove(fill.key, fill)) {
      return;
    }
    Waiting<A> next = fill.waiting.poll();
    while (next != null && next.endMs <= now) {
      waiting--;
      next = fill.waiting.poll();
    }
    if (next == null) {
      return;
    }
    waiting--;
    Holder.Point point = holder.begin(now);
    if (point != null) {
      next.waiter.found(lead(fill.key, point, next.endMs, fill.waiting));
      return;
    }
    // Without a lease nothing is kept: each asks for itself.
    waiting -= fill.waiting.size();
    next.waiter.found(new Alone<>());
    for (Waiting<A> one : fill.waiting) {
      if (now < one.endMs) {
        one.waiter.found(new Alone<>());
      }
    }
  }

  private void removed(Key key, RemovalCause cause) {
    TreeSet<String> kept = targets.get(key.customer);
    if (cause != RemovalCause.REPLACED
        && kept != null
        && kept.remove(key.target)
        && kept.isEmpty()) {
      targets.remove(key.customer);
    }
  }
}
