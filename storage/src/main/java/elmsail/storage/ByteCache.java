package elmsail.storage;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An LRU cache of large values, keyed by sequence number, with a limit on its total bytes. Guarded
 * by the lock of {@link DirectoryRecordStore}.
 */
final class ByteCache {
  static final int MAX_BYTES = 4 * 1024 * 1024;

  private final LinkedHashMap<Long, byte[]> values = new LinkedHashMap<>(16, 0.75f, true);
  private int bytes;

  /** Returns the value and marks it as most recently used; null if it isn't cached. */
  byte[] get(long seq) {
    return values.get(seq);
  }

  /** Adds a value, unless it is over half the limit, and evicts the least recently used values. */
  void put(long seq, byte[] value) {
    if (value.length > MAX_BYTES / 2) {
      return;
    }
    remove(seq);
    values.put(seq, value);
    bytes += value.length;
    Iterator<Map.Entry<Long, byte[]>> oldest = values.entrySet().iterator();
    while (bytes > MAX_BYTES) {
      bytes -= oldest.next().getValue().length;
      oldest.remove();
    }
  }

  void remove(long seq) {
    byte[] value = values.remove(seq);
    if (value != null) {
      bytes -= value.length;
    }
  }

  /** The total size of the cached values in bytes. */
  int bytes() {
    return bytes;
  }
}
