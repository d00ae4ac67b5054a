package elmsail.consensus;

import java.util.Arrays;

/** A set of pairs of longs, none of them (0, 0) but as the first. */
final class LongPairs {
  private long[] table = new long[1 << 16];
  private int size;
  private boolean zero;

  boolean add(long one, long two) {
    if (one == 0 && two == 0) {
      boolean fresh = !zero;
      zero = true;
      size += fresh ? 1 : 0;
      return fresh;
    }
    if (size * 4L > table.length) {
      grow();
    }
    return put(table, one, two);
  }

  private boolean put(long[] into, long one, long two) {
    long hash = (one * 0x9E3779B97F4A7C15L ^ two) * 0xBF58476D1CE4E5B9L;
    hash = (hash ^ hash >>> 29) * 0x94D049BB133111EBL;
    int mask = into.length - 2;
    int at = (int) (hash >>> 31) & mask;
    while (into[at] != 0 || into[at + 1] != 0) {
      if (into[at] == one && into[at + 1] == two) {
        return false;
      }
      at = at + 2 & mask;
    }
    into[at] = one;
    into[at + 1] = two;
    size++;
    return true;
  }

  private void grow() {
    long[] old = table;
    table = new long[Math.multiplyExact(old.length, 2)];
    size = zero ? 1 : 0;
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
