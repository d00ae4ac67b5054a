package willowdoor.purge;

/**
 * A map from long to int without boxing, because the model checker stores tens of millions of
 * entries. Values are not negative.
 */
final class LongMap {
  private long[] keys = new long[1 << 16];
  private int[] values = new int[1 << 16];
  private int size;

  int size() {
    return size;
  }

  /** The value, or -1 if the key is absent. */
  int get(long key) {
    return values[slot(key)] - 1;
  }

  /** Adds a key; returns false if it was present. */
  boolean add(long key, int value) {
    int slot = slot(key);
    if (values[slot] != 0) {
      return false;
    }
    keys[slot] = key;
    values[slot] = value + 1;
    if (++size > keys.length / 2) {
      long[] oldKeys = keys;
      int[] oldValues = values;
      keys = new long[2 * oldKeys.length];
      values = new int[2 * oldKeys.length];
      for (int i = 0; i < oldKeys.length; i++) {
        if (oldValues[i] != 0) {
          int to = slot(oldKeys[i]);
          keys[to] = oldKeys[i];
          values[to] = oldValues[i];
        }
      }
    }
    return true;
  }

  private int slot(long key) {
    int slot = (int) (mix(key) >>> 20) & keys.length - 1;
    while (values[slot] != 0 && keys[slot] != key) {
      slot = slot + 1 & keys.length - 1;
    }
    return slot;
  }

  static long mix(long value) {
    long z = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
    z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
    return z ^ z >>> 31;
  }
}
