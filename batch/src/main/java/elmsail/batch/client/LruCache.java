package elmsail.batch.client;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToIntFunction;

/** A map of bounded weight: what was asked for least lately goes first. */
final class LruCache<V> {
  private final long maxWeight;
  private final ToIntFunction<V> weigher;
  private final LinkedHashMap<String, V> map = new LinkedHashMap<>(16, 0.75f, true);
  private long weight;

  /**
   * @param maxWeight the weight of all, in what the weigher gives
   */
  LruCache(long maxWeight, ToIntFunction<V> weigher) {
    this.maxWeight = maxWeight;
    this.weigher = weigher;
  }

  V get(String key) {
    return map.get(key);
  }

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
