package willowdoor.purge;

import java.util.Iterator;
import java.util.LinkedHashMap;

/** What is known of ids: the {@value #MOST} newest facts, each for ten minutes. */
final class Memory<V> {
  private static final int MOST = 8_192;
  private static final long REMEMBER_MS = 600_000;

  private record Fact<V>(V value, long since) {}

  /** The oldest first. */
  private final LinkedHashMap<PurgeId, Fact<V>> facts = new LinkedHashMap<>();

  Memory() {}

  Memory(Memory<V> other) {
    facts.putAll(other.facts);
  }

  /** Null where nothing is known. */
  V get(PurgeId id) {
    Fact<V> fact = facts.get(id);
    return fact == null ? null : fact.value;
  }

  void put(long now, PurgeId id, V value) {
    facts.remove(id);
    facts.put(id, new Fact<>(value, now));
    Iterator<Fact<V>> oldest = facts.values().iterator();
    while (oldest.next().since + REMEMBER_MS <= now || facts.size() > MOST) {
      oldest.remove();
    }
  }
}
