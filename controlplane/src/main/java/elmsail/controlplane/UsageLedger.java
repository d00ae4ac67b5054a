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
 * The register's value under {@link #KEY}: the newest finalized window, and the counts of the
 * finalized windows that the platform is not known to have accepted. The counts of a finalized
 * window never change. The lease holder that first advances the ledger past a window sets the
 * window's counts. The counts are removed only when the platform has accepted them or when they are
 * too old to be reported. Immutable.
 *
 * @param lastFinalizedWindow number of the newest finalized window; every older window is finalized
 *     as well or is never reported
 * @param unsent counts by tenant of the windows that are still to be sent, by window number
 */
record UsageLedger(long lastFinalizedWindow, SortedMap<Long, SortedMap<String, Long>> unsent) {
  static final String KEY = "usage";

  private static final String VALUE_NAME = "usage ledger";
  private static final int FORMAT = 1;
  private static final int MAX_WINDOWS = 1_000;
  private static final int MAX_TENANTS = 100_000;

  /**
   * Returns a ledger without counts whose first window to finalize is the one after {@code window}.
   */
  static UsageLedger startingAfter(long window) {
    return new UsageLedger(window, Collections.emptySortedMap());
  }

  /**
   * Returns this ledger with the counts of all windows up to {@code last} finalized.
   *
   * @param first oldest window to report; older windows are skipped, because gateways no longer
   *     keep their counts
   * @param counts returns the counts of a window
   */
  UsageLedger finalizeCounts(long first, long last, LongFunction<SortedMap<String, Long>> counts) {
    SortedMap<Long, SortedMap<String, Long>> windows = new TreeMap<>(unsent.tailMap(first));
    for (long window = Math.max(first, lastFinalizedWindow + 1); window <= last; window++) {
      windows.put(window, counts.apply(window));
    }
    return new UsageLedger(
        Math.max(lastFinalizedWindow, last), Collections.unmodifiableSortedMap(windows));
  }

  /** Returns this ledger without the windows that the platform has accepted. */
  UsageLedger without(Collection<Long> acceptedWindows) {
    SortedMap<Long, SortedMap<String, Long>> windows = new TreeMap<>(unsent);
    windows.keySet().removeAll(acceptedWindows);
    return new UsageLedger(lastFinalizedWindow, Collections.unmodifiableSortedMap(windows));
  }

  /** Encodes this ledger as a register value. */
  byte[] encode() {
    return ValueCodec.encode(
        VALUE_NAME,
        out -> {
          out.writeByte(FORMAT);
          out.writeLong(lastFinalizedWindow);
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
   * Decodes a register value.
   *
   * @throws ElmsailException MALFORMED if the bytes cannot be decoded
   */
  static UsageLedger decode(byte[] value) {
    return ValueCodec.decode(VALUE_NAME, value, UsageLedger::read);
  }

  private static UsageLedger read(DataInputStream in) throws IOException {
    if (in.readByte() != FORMAT) {
      throw new IOException("unsupported format version");
    }
    long lastFinalizedWindow = in.readLong();
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
    return new UsageLedger(lastFinalizedWindow, Collections.unmodifiableSortedMap(windows));
  }
}
