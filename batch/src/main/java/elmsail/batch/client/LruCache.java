package elmsail.batch.client;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * A map of bounded weight that evicts the least recently used entries. One entry stays, whatever
 * its weight. Not thread-safe.
 */
final class LruCache<V> {
  private final long maxWeight;
  private final ToIntFunction<V> weigher;
  private final LinkedHashMap<String, V> map = new LinkedHashMap<>(16, 0.75f, true);
  private long weight;

  /**
   * @param maxWeight of all entries together, in the unit of the weigher
   * @param weigher must give the same weight for a value each time
   */
  LruCache(long maxWeight, ToIntFunction<V> weigher) {
    this.maxWeight = maxWeight;
    this.weigher = weigher;
  }

  /** The value of the key, or null. */
  V get(String key) {
    return map.get(key);
  }

  /** Sets the value of the key and evicts others while the cache is too heavy. */
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
