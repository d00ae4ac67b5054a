package willowdoor.lab.relay;

import java.net.SocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Callers' connections of which the last bytes never got to the one that was called, as it could
 * not be connected or had ended its side before they came. Without the relay those callers would
 * have been told so by their own kernel.
 */
final class Unreached {

  private static final int MOST = 4_096;

  private final Map<SocketAddress, Boolean> callers =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<SocketAddress, Boolean> eldest) {
          return size() > MOST;
        }
      };

  synchronized void add(SocketAddress caller) {
    callers.put(caller, true);
  }

  /** Whether it is one; it is asked for once. */
  synchronized boolean take(SocketAddress caller) {
    return callers.remove(caller) != null;
  }
}
