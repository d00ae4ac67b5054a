package elmsail.rpc;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The calls that were sent over one connection and have not completed. Call ids are drawn once in a
 * process and never reused, and each connection has its own table, so a response completes a call
 * only if it arrives on the connection that the call was sent on, carries its id, and is the first
 * to do so. Free of I/O: it knows no socket and no clock. Used on the connection's loop only.
 *
 * @param <C> the type of a call
 */
final class CallTable<C> {

  static final int MAX_CALLS = 4_096;

  private final Map<Long, C> pending = new LinkedHashMap<>();
  private boolean closed;

  /** Adds a call that is about to be sent; false if the connection is closed or the table full. */
  boolean add(long callId, C call) {
    if (closed || pending.size() >= MAX_CALLS) {
      return false;
    }
    pending.put(callId, call);
    return true;
  }

  /** The pending call with that id, or null. */
  C find(long callId) {
    return pending.get(callId);
  }

  /** Removes and returns a pending call; null if it has completed or was never sent here. */
  C remove(long callId) {
    return pending.remove(callId);
  }

  /** Whether no call is pending. */
  boolean isEmpty() {
    return pending.isEmpty();
  }

  /**
   * Removes and returns all calls in the order in which they were added; none can be added later.
   */
  List<C> close() {
    closed = true;
    List<C> all = new ArrayList<>(pending.values());
    pending.clear();
    return all;
  }
}
