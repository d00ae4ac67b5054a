package elmsail.batch.client;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * A cache of bounded weight that evicts the least recently used entries. The last entry is never
 * evicted, whatever its weight. Not thread-safe.
 */
final class LruCache<V> {
  private final long maxWeight;
  private final ToIntFunction<V> weigher;
  private final LinkedHashMap<String, V> map = new LinkedHashMap<>(16, 0.75f, true);
  private long weight;

  /**
   * Creates an empty cache.
   *
   * @param maxWeight the maximum total weight of all entries, in the unit of the weigher
   * @param weigher must always return the same weight for the same value
   */
  LruCache(long maxWeight, ToIntFunction<V> weigher) {
    this.maxWeight = maxWeight;
    this.weigher = weigher;
  }

  /** The value of the key, or null if there is none. */
  V get(String key) {
    return map.get(key);
  }

  /** Sets the value of the key and evicts other entries while the total weight is too high. */
  void put(String key, V value) {
    V previous = map.put(key, value);
    weight += weigher.applyAsInt(value) - (previous == null ? 0 : weigher.applyAsInt(previous));
    Iterator<Map.Entry<String, V>> eldest = map.entrySet().iterator();
    while (weight > maxWeight && map.size() > 1) {
      weight -= weigher.applyAsInt(eldest.next().getValue());
      eldest.remove();
    }
  }
}
