package elmsail.controlplane;

import elmsail.runtime.ElmsailException;
import java.io.DataInputStream;
import java.io.IOException;
import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.LongFunction;

/**
 * The register's value under {@link #KEY}: up to which window the usage has been decided, and the
 * decided counts of the windows that the platform is not known to have. What is decided never
 * changes: a window's counts are set when the ledger first passes it, by whoever holds the lease
 * then, and are only left out again once the platform has taken them in, or when they are too old
 * to be wanted. Immutable.
 *
 * @param lastDecided number of the newest window that is decided; older ones are decided too, or
 *     never will be
 * @param unsent counts by tenant of the windows still to be sent
 */
record UsageLedger(long lastDecided, SortedMap<Long, SortedMap<String, Long>> unsent) {
  static final String KEY = "usage";

  private static final String VALUE_NAME = "usage ledger";
  private static final int FORMAT = 1;
  private static final int MAX_WINDOWS = 1_000;
  private static final int MAX_TENANTS = 100_000;

  /** A ledger that has decided nothing after that window. */
  static UsageLedger startingAfter(long window) {
    return new UsageLedger(window, Collections.emptySortedMap());
  }

  /**
   * This ledger with all windows decided up to {@code last}.
   *
   * @param first windows before this one are passed over: nobody knows their counts any more
   * @param counts the counts of a window
   */
  UsageLedger decide(long first, long last, LongFunction<SortedMap<String, Long>> counts) {
    SortedMap<Long, SortedMap<String, Long>> windows = new TreeMap<>(unsent.tailMap(first));
    for (long window = Math.max(first, lastDecided + 1); window <= last; window++) {
      windows.put(window, counts.apply(window));
    }
    return new UsageLedger(Math.max(lastDecided, last), Collections.unmodifiableSortedMap(windows));
  }

  /** This ledger without the windows that the platform has taken in. */
  UsageLedger without(Collection<Long> acceptedWindows) {
    SortedMap<Long, SortedMap<String, Long>> windows = new TreeMap<>(unsent);
    windows.keySet().removeAll(acceptedWindows);
    return new UsageLedger(lastDecided, Collections.unmodifiableSortedMap(windows));
  }

  /** The value's bytes. */
  byte[] encode() {
    return ValueCodec.encode(
        VALUE_NAME,
        out -> {
          out.writeByte(FORMAT);
          out.writeLong(lastDecided);
          out.writeInt(unsent.size());
          for (Map.Entry<Long, SortedMap<String, Long>> window : unsent.entrySet()) {
            out.writeLong(window.getKey());
            out.writeInt(window.getValue().size());
            for (Map.Entry<String, Long> count : window.getValue().entrySet()) {
              out.writeUTF(count.getKey());
              out.writeLong(count.getValue());
            }
          }
        });
  }

  /**
   * The ledger of these bytes.
   *
   * @throws ElmsailException MALFORMED if they are none
   */
  static UsageLedger decode(byte[] value) {
    return ValueCodec.decode(VALUE_NAME, value, UsageLedger::read);
  }

  private static UsageLedger read(DataInputStream in) throws IOException {
    if (in.readByte() != FORMAT) {
      throw new IOException("another format");
    }
    long lastDecided = in.readLong();
    SortedMap<Long, SortedMap<String, Long>> windows = new TreeMap<>();
    int count = ValueCodec.readCount(in, VALUE_NAME, MAX_WINDOWS);
    for (int i = 0; i < count; i++) {
      long window = in.readLong();
      SortedMap<String, Long> counts = new TreeMap<>();
      int tenants = ValueCodec.readCount(in, VALUE_NAME, MAX_TENANTS);
      for (int j = 0; j < tenants; j++) {
        String tenant = in.readUTF();
        counts.put(tenant, in.readLong());
      }
      windows.put(window, Collections.unmodifiableSortedMap(counts));
    }
    return new UsageLedger(lastDecided, Collections.unmodifiableSortedMap(windows));
  }
}
