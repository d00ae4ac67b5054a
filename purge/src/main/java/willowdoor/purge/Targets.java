package willowdoor.purge;

import java.util.regex.Pattern;

/** Which targets can be kept: those with one spelling only, as purges go by the text. */
final class Targets {
  static final int MOST = 2_048;

  /** Percent signs, back slashes, empty parts, and parts of one or two dots. */
  private static final Pattern SPELT_OTHERWISE = Pattern.compile("[%\\\\#]|//|/\\.\\.?(/|$)");

  private Targets() {}

  static boolean kept(String target) {
    int query = target.indexOf('?');
    String path = query < 0 ? target : target.substring(0, query);
    return Scope.visible(target, MOST)
        && target.charAt(0) == '/'
        && !SPELT_OTHERWISE.matcher(path).find();
  }
}
