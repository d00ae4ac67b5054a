package elmsail.rpc;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The calls in flight on one connection. Call ids are never reused within a process, and each
 * connection has its own table, so a response completes a call only if it is the first with the
 * call's id on the connection that the call was sent on. Pure: it uses no socket and no clock.
 *
 * @param <C> the type of call
 */
final class CallTable<C> {

  static final int MAX_CALLS = 4_096;

  private final Map<Long, C> pending = new LinkedHashMap<>();
  private boolean closed;

  /**
   * Adds a call that is about to be sent; false if the connection is closed or the table is full.
   */
  boolean add(long callId, C call) {
    if (closed || pending.size() >= MAX_CALLS) {
      return false;
    }
    pending.put(callId, call);
    return true;
  }

  /** The call in flight with that id, or null. */
  C find(long callId) {
    return pending.get(callId);
  }

  /** Removes and returns the call with that id; null if it is not, or no longer, in the table. */
  C remove(long callId) {
    return pending.remove(callId);
  }

  boolean isEmpty() {
    return pending.isEmpty();
  }

  /**
   * Removes and returns all calls in the order they were added; no call can be added afterwards.
   */
  List<C> close() {
    closed = true;
    List<C> all = new ArrayList<>(pending.values());
    pending.clear();
    return all;
  }
}
