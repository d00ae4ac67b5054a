package elmsail.config.watch;

import java.util.ArrayList;
import java.util.List;

/**
 * Rendezvous (highest random weight) hashing, after Thaler and Ravishankar: each key ranks the
 * candidates in an order of its own, which is the same in every process. Stateless.
 */
public final class RendezvousHash {
  private RendezvousHash() {}

  /**
   * Chooses the first candidates in the key's order. Adding or removing a candidate replaces at
   * most one chosen candidate.
   *
   * @param key identifies the process that chooses, such as a machine's name
   * @param candidates in any order; duplicates count once
   * @param count how many to choose; all if there are fewer
   * @return the chosen candidates, highest rank first; unmodifiable
   */
  public static List<String> choose(String key, List<String> candidates, int count) {
    List<String> ranked = new ArrayList<>();
    List<Long> scores = new ArrayList<>();
    long seed = hash(0, key);
    for (String candidate : candidates) {
      if (ranked.contains(candidate)) {
        continue;
      }
      long score = hash(seed, candidate);
      int rank = 0;
      while (rank < ranked.size()
          && ranksBefore(scores.get(rank), ranked.get(rank), score, candidate)) {
        rank++;
      }
      ranked.add(rank, candidate);
      scores.add(rank, score);
    }
    return List.copyOf(ranked.subList(0, Math.max(0, Math.min(count, ranked.size()))));
  }

  private static boolean ranksBefore(long score, String name, long otherScore, String otherName) {
    return score != otherScore ? score > otherScore : name.compareTo(otherName) < 0;
  }

  /** FNV-1a over the characters, then the finalizer of SplitMix64 to spread similar names. */
  private static long hash(long seed, String text) {
    long hash = 0xcbf29ce484222325L ^ seed;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
    }
    hash = (hash ^ hash >>> 30) * 0xbf58476d1ce4e5b9L;
    hash = (hash ^ hash >>> 27) * 0x94d049bb133111ebL;
    return hash ^ hash >>> 31;
  }
}
