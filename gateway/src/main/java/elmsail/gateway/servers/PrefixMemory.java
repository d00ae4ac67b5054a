package elmsail.gateway.servers;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which parts of prompts one server was sent lately and so may have kept; the longest unused give
 * way.
 */
final class PrefixMemory {
  private static final int MOST_PARTS = 4_096;
  private static final int FIRST_SIZE = 64;
  private static final float LOAD = 0.75f;

  private final LinkedHashMap<Long, Integer> parts = new LinkedHashMap<>(FIRST_SIZE, LOAD, true);
  private long mostTokens;
  private long held;

  PrefixMemory(long mostTokens) {
    this.mostTokens = mostTokens;
  }

  void most(long tokens) {
    mostTokens = tokens;
  }

  /** How many of the prompt's tokens need not be read anew, if nothing was given up since. */
  int known(Prompt prompt) {
    int sum = 0;
    for (int i = 0; i < prompt.keys().length && parts.containsKey(prompt.keys()[i]); i++) {
      sum += prompt.tokens()[i];
    }
    return sum;
  }

  /** The server reads this prompt. */
  void add(Prompt prompt) {
    // The last ones first: of two parts unused for equally long the later one goes before what it
    // stands on.
    for (int i = prompt.keys().length - 1; i >= 0; i--) {
      Integer before = parts.put(prompt.keys()[i], prompt.tokens()[i]);
      held += prompt.tokens()[i] - (before == null ? 0 : before);
    }
    Iterator<Map.Entry<Long, Integer>> oldest = parts.entrySet().iterator();
    while ((held > mostTokens || parts.size() > MOST_PARTS) && oldest.hasNext()) {
      held -= oldest.next().getValue();
      oldest.remove();
    }
  }

  void clear() {
    parts.clear();
    held = 0;
  }

  int size() {
    return parts.size();
  }
}
