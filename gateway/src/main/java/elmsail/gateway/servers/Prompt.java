package elmsail.gateway.servers;

/**
 * The prompt of a request as a chain of segments. The key of a segment covers all segments before
 * it as well, because a cached segment can be used only after the same prefix.
 *
 * @param segmentKeys the key of each segment
 * @param segmentTokens the number of tokens of each segment
 * @param totalTokens the number of tokens of the whole prompt, at least the sum of the segments
 */
public record Prompt(long[] segmentKeys, int[] segmentTokens, int totalTokens) {
  private static final int MAX_SEGMENTS = 64;
  private static final int MAX_TOKENS = 10_000_000;

  public static final Prompt NONE = new Prompt(new long[0], new int[0], 0);

  /**
   * Parses {@code ID:TOKENS,ID:TOKENS...} and {@code IN,OUT}; malformed numbers count as 0.
   *
   * @param segments the value of {@code Elmsail-Prompt-Prefix}, or null
   * @param inputAndOutput the value of {@code Elmsail-Tokens}, or null
   */
  public static Prompt parse(String segments, String inputAndOutput) {
    int total =
        inputAndOutput == null
            ? 0
            : parseTokens(inputAndOutput, 0, indexOfOrEnd(inputAndOutput, 0, ','));
    if (segments == null || segments.isEmpty()) {
      return total == 0 ? NONE : new Prompt(new long[0], new int[0], total);
    }
    int count = 1;
    for (int i = 0; i < segments.length(); i++) {
      count += segments.charAt(i) == ',' ? 1 : 0;
    }
    count = Math.min(count, MAX_SEGMENTS);
    long[] keys = new long[count];
    int[] tokens = new int[count];
    long key = 17;
    int from = 0;
    int sum = 0;
    for (int i = 0; i < count; i++) {
      int to = indexOfOrEnd(segments, from, ',');
      int colon = Math.min(indexOfOrEnd(segments, from, ':'), to);
      for (int c = from; c < colon; c++) {
        if (segments.charAt(c) != ' ') {
          key = mix(key * 31 + segments.charAt(c));
        }
      }
      key = mix(key + 0x9e3779b97f4a7c15L); // the segment boundary is part of the key
      keys[i] = key;
      tokens[i] = colon < to ? parseTokens(segments, colon + 1, to) : 0;
      sum += tokens[i];
      from = to + 1;
    }
    return new Prompt(keys, tokens, Math.max(sum, total));
  }

  /** The key of the longest prefix that other prompts may share, or 0 if there is none. */
  long sharedPrefixKey() {
    return segmentKeys.length > 1 ? segmentKeys[segmentKeys.length - 2] : 0;
  }

  /** The number of tokens of the prefix that other prompts may share. */
  int sharedPrefixTokens() {
    int sum = 0;
    for (int i = 0; i + 1 < segmentTokens.length; i++) {
      sum += segmentTokens[i];
    }
    return sum;
  }

  /** Scrambles the bits of a key (the finalizer of SplitMix64). */
  static long mix(long value) {
    long mixed = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
    return mixed ^ mixed >>> 31;
  }

  private static int indexOfOrEnd(String text, int from, char delimiter) {
    int at = text.indexOf(delimiter, from);
    return at < 0 ? text.length() : at;
  }

  private static int parseTokens(String text, int from, int to) {
    int value = 0;
    for (int i = from; i < to; i++) {
      int digit = text.charAt(i) - '0';
      if (digit >= 0 && digit <= 9) {
        value = Math.min(MAX_TOKENS, 10 * value + digit);
      } else if (text.charAt(i) != ' ') {
        return 0;
      }
    }
    return value;
  }
}
