package elmsail.rpc;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The calls that were sent over one connection and have not ended. Call numbers are drawn once in a
 * process and never used again, and each connection has its own table, so an answer ends a call
 * only if it came over the connection that the call went out on, bears its number, and is the first
 * to do so. Pure: it knows no socket and no clock.
 *
 * @param <C> the kind of call
 */
final class CallTable<C> {

  static final int MAX_CALLS = 4_096;

  private final Map<Long, C> pending = new LinkedHashMap<>();
  private boolean closed;

  /** Adds a call that is about to be sent; false if the connection is closed or too many wait. */
  boolean add(long callId, C call) {
    if (closed || pending.size() >= MAX_CALLS) {
      return false;
    }
    pending.put(callId, call);
    return true;
  }

  /** The open call with that number, or null. */
  C find(long callId) {
    return pending.get(callId);
  }

  /** Ends the call: it is returned once; null if it has ended before or never went out here. */
  C remove(long callId) {
    return pending.remove(callId);
  }

  boolean isEmpty() {
    return pending.isEmpty();
  }

  /** Ends them all, in the order in which they were added; nothing can be added any more. */
  List<C> close() {
    closed = true;
    List<C> all = new ArrayList<>(pending.values());
    pending.clear();
    return all;
  }
}
