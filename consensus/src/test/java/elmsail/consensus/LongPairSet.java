package elmsail.consensus;

import java.util.Arrays;

/** A set of pairs of longs: an open-addressing hash table, with a flag for the pair (0, 0). */
final class LongPairSet {
  private long[] table = new long[1 << 16];
  private int size;
  private boolean containsZeroPair;

  boolean add(long first, long second) {
    if (first == 0 && second == 0) {
      boolean fresh = !containsZeroPair;
      containsZeroPair = true;
      size += fresh ? 1 : 0;
      return fresh;
    }
    if (size * 4L > table.length) {
      grow();
    }
    return put(table, first, second);
  }

  private boolean put(long[] into, long first, long second) {
    long hash = (first * 0x9E3779B97F4A7C15L ^ second) * 0xBF58476D1CE4E5B9L;
    hash = (hash ^ hash >>> 29) * 0x94D049BB133111EBL;
    int mask = into.length - 2;
    int index = (int) (hash >>> 31) & mask;
    while (into[index] != 0 || into[index + 1] != 0) {
      if (into[index] == first && into[index + 1] == second) {
        return false;
      }
      index = index + 2 & mask;
    }
    into[index] = first;
    into[index + 1] = second;
    size++;
    return true;
  }

  private void grow() {
    long[] old = table;
    table = new long[Math.multiplyExact(old.length, 2)];
    size = containsZeroPair ? 1 : 0;
    for (int i = 0; i < old.length; i += 2) {
      if (old[i] != 0 || old[i + 1] != 0) {
        put(table, old[i], old[i + 1]);
      }
    }
    Arrays.fill(old, 0);
  }

  int size() {
    return size;
  }
}
