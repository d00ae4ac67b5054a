package elmsail.gateway.servers;

/**
 * What a request's prompt is made of: parts in order, each named by a key that stands for it and
 * all before it, as a kept part is of use only behind the same parts.
 *
 * @param segmentKeys one for each part
 * @param segmentTokens of each part
 * @param totalTokens tokens of the prompt, at least those of the parts
 */
public record Prompt(long[] segmentKeys, int[] segmentTokens, int totalTokens) {
  private static final int MAX_SEGMENTS = 64;
  private static final int MAX_TOKENS = 10_000_000;

  public static final Prompt NONE = new Prompt(new long[0], new int[0], 0);

  /**
   * Reads {@code ID:TOKENS,ID:TOKENS...} and {@code IN,OUT}; either may be null, what is no number
   * is 0.
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
      key = mix(key + 0x9e3779b97f4a7c15L); // where one part ends matters
      keys[i] = key;
      tokens[i] = colon < to ? parseTokens(segments, colon + 1, to) : 0;
      sum += tokens[i];
      from = to + 1;
    }
    return new Prompt(keys, tokens, Math.max(sum, total));
  }

  /** The key of the longest part that others may share, or 0 where there is none. */
  long sharedPrefixKey() {
    return segmentKeys.length > 1 ? segmentKeys[segmentKeys.length - 2] : 0;
  }

  /** The tokens up to there. */
  int sharedPrefixTokens() {
    int sum = 0;
    for (int i = 0; i + 1 < segmentTokens.length; i++) {
      sum += segmentTokens[i];
    }
    return sum;
  }

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
