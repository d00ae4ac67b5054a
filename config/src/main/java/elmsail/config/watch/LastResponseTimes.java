package elmsail.config.watch;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * When each control-plane node last responded, kept after its stream is closed. Bounded: the node
 * that responded longest ago is removed first. Owned by the event loop.
 */
final class LastResponseTimes {
  private static final int MAX_ADDRESSES = 64;

  private final Map<String, Long> responseAtMsByAddress = new LinkedHashMap<>();

  /** Records a response at {@code nowMs} of the steady clock. */
  void record(String address, long nowMs) {
    responseAtMsByAddress.remove(address);
    responseAtMsByAddress.put(address, nowMs);
    if (responseAtMsByAddress.size() > MAX_ADDRESSES) {
      responseAtMsByAddress.remove(responseAtMsByAddress.keySet().iterator().next());
    }
  }

  /** Time since the last response in ms; Long.MAX_VALUE if none is known. */
  long ageMs(String address, long nowMs) {
    Long responseAtMs = responseAtMsByAddress.get(address);
    return responseAtMs == null ? Long.MAX_VALUE : nowMs - responseAtMs;
  }
}
