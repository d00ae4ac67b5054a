package willowdoor.purge;

import java.util.Iterator;
import java.util.LinkedHashMap;

/** Values by purge id: the {@value #MAX_ENTRIES} newest values, each for ten minutes. */
final class RecentPurges<V> {
  private static final int MAX_ENTRIES = 8_192;
  private static final long RETENTION_MS = 600_000;

  private record TimedValue<V>(V value, long storedAt) {}

  /** The oldest value first. */
  private final LinkedHashMap<PurgeId, TimedValue<V>> values = new LinkedHashMap<>();

  RecentPurges() {}

  RecentPurges(RecentPurges<V> other) {
    values.putAll(other.values);
  }

  /** Returns null if there is no value for the id. */
  V get(PurgeId id) {
    TimedValue<V> fact = values.get(id);
    return fact == null ? null : fact.value;
  }

  void put(long now, PurgeId id, V value) {
    values.remove(id);
    values.put(id, new TimedValue<>(value, now));
    Iterator<TimedValue<V>> oldest = values.values().iterator();
    while (oldest.next().storedAt + RETENTION_MS <= now || values.size() > MAX_ENTRIES) {
      oldest.remove();
    }
  }
}
