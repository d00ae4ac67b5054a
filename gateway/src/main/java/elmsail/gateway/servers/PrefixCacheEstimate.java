package elmsail.gateway.servers;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimate of one server's prefix cache: the prompt segments that this gateway sent to the server,
 * with least recently used eviction. Owned by the gateway's event loop.
 */
final class PrefixCacheEstimate {
  private static final int MAX_SEGMENTS = 4_096;
  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final LinkedHashMap<Long, Integer> tokensBySegment =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
  private long maxTokens;
  private long totalTokens;

  PrefixCacheEstimate(long maxTokens) {
    this.maxTokens = maxTokens;
  }

  /** Changes the capacity in tokens; takes effect with the next prompt. */
  void setMaxTokens(long tokens) {
    maxTokens = tokens;
  }

  /** How many of the prompt's leading tokens the server has cached according to this estimate. */
  int cachedTokens(Prompt prompt) {
    int sum = 0;
    for (int i = 0;
        i < prompt.segmentKeys().length && tokensBySegment.containsKey(prompt.segmentKeys()[i]);
        i++) {
      sum += prompt.segmentTokens()[i];
    }
    return sum;
  }

  /** Records that this prompt is sent to the server. */
  void record(Prompt prompt) {
    // Last segment first, so that a segment becomes older than its prefix and is evicted before it.
    for (int i = prompt.segmentKeys().length - 1; i >= 0; i--) {
      Integer before = tokensBySegment.put(prompt.segmentKeys()[i], prompt.segmentTokens()[i]);
      totalTokens += prompt.segmentTokens()[i] - (before == null ? 0 : before);
    }
    Iterator<Map.Entry<Long, Integer>> oldest = tokensBySegment.entrySet().iterator();
    while ((totalTokens > maxTokens || tokensBySegment.size() > MAX_SEGMENTS) && oldest.hasNext()) {
      totalTokens -= oldest.next().getValue();
      oldest.remove();
    }
  }

  void clear() {
    tokensBySegment.clear();
    totalTokens = 0;
  }

  int size() {
    return tokensBySegment.size();
  }
}
