package willowdoor.purge;

import java.util.regex.Pattern;

/**
 * Determines which targets can be cached: those with a single spelling only, because purges compare
 * targets as text.
 */
final class Targets {
  static final int MAX_LENGTH = 2_048;

  /** Percent signs, backslashes, number signs, empty segments, and segments of one or two dots. */
  private static final Pattern AMBIGUOUS_PATH = Pattern.compile("[%\\\\#]|//|/\\.\\.?(/|$)");

  private Targets() {}

  static boolean isCacheable(String target) {
    int query = target.indexOf('?');
    String path = query < 0 ? target : target.substring(0, query);
    return Scope.isVisibleAscii(target, MAX_LENGTH)
        && target.charAt(0) == '/'
        && !AMBIGUOUS_PATH.matcher(path).find();
  }
}
