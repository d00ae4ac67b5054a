package elmsail.batch.client;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToIntFunction;

/** A map of bounded weight: what was asked for least lately goes first. */
final class LruCache<V> {
  private final long most;
  private final ToIntFunction<V> weigher;
  private final LinkedHashMap<String, V> map = new LinkedHashMap<>(16, 0.75f, true);
  private long weight;

  /**
   * @param most the weight of all, in what the weigher gives
   */
  LruCache(long most, ToIntFunction<V> weigher) {
    this.most = most;
    this.weigher = weigher;
  }

  V get(String name) {
    return map.get(name);
  }

  void put(String name, V value) {
    V before = map.put(name, value);
    weight += weigher.applyAsInt(value) - (before == null ? 0 : weigher.applyAsInt(before));
    Iterator<Map.Entry<String, V>> eldest = map.entrySet().iterator();
    while (weight > most && map.size() > 1) {
      weight -= weigher.applyAsInt(eldest.next().getValue());
      eldest.remove();
    }
  }
}
