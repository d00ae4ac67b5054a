package elmsail.gateway.servers;

/**
 * What a request's prompt is made of: parts in order, each named by a key that stands for it and
 * all before it, as a kept part is of use only behind the same parts.
 *
 * @param keys one for each part
 * @param tokens of each part
 * @param total tokens of the prompt, at least those of the parts
 */
public record Prompt(long[] keys, int[] tokens, int total) {
  private static final int MOST_PARTS = 64;
  private static final int MOST_TOKENS = 10_000_000;

  public static final Prompt NONE = new Prompt(new long[0], new int[0], 0);

  /**
   * Reads {@code ID:TOKENS,ID:TOKENS...} and {@code IN,OUT}; either may be null, what is no number
   * is 0.
   */
  public static Prompt read(String parts, String inAndOut) {
    int total = inAndOut == null ? 0 : number(inAndOut, 0, end(inAndOut, 0, ','));
    if (parts == null || parts.isEmpty()) {
      return total == 0 ? NONE : new Prompt(new long[0], new int[0], total);
    }
    int count = 1;
    for (int i = 0; i < parts.length(); i++) {
      count += parts.charAt(i) == ',' ? 1 : 0;
    }
    count = Math.min(count, MOST_PARTS);
    long[] keys = new long[count];
    int[] tokens = new int[count];
    long key = 17;
    int from = 0;
    int sum = 0;
    for (int i = 0; i < count; i++) {
      int to = end(parts, from, ',');
      int colon = Math.min(end(parts, from, ':'), to);
      for (int c = from; c < colon; c++) {
        if (parts.charAt(c) != ' ') {
          key = mix(key * 31 + parts.charAt(c));
        }
      }
      key = mix(key + 0x9e3779b97f4a7c15L); // where one part ends matters
      keys[i] = key;
      tokens[i] = colon < to ? number(parts, colon + 1, to) : 0;
      sum += tokens[i];
      from = to + 1;
    }
    return new Prompt(keys, tokens, Math.max(sum, total));
  }

  /** The key of the longest part that others may share, or 0 where there is none. */
  long sharedKey() {
    return keys.length > 1 ? keys[keys.length - 2] : 0;
  }

  /** The tokens up to there. */
  int sharedTokens() {
    int sum = 0;
    for (int i = 0; i + 1 < tokens.length; i++) {
      sum += tokens[i];
    }
    return sum;
  }

  static long mix(long value) {
    long mixed = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
    return mixed ^ mixed >>> 31;
  }

  private static int end(String text, int from, char what) {
    int at = text.indexOf(what, from);
    return at < 0 ? text.length() : at;
  }

  private static int number(String text, int from, int to) {
    int value = 0;
    for (int i = from; i < to; i++) {
      int digit = text.charAt(i) - '0';
      if (digit >= 0 && digit <= 9) {
        value = Math.min(MOST_TOKENS, 10 * value + digit);
      } else if (text.charAt(i) != ' ') {
        return 0;
      }
    }
    return value;
  }
}
