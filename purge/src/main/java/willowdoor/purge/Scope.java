package willowdoor.purge;

/**
 * What a purge covers.
 *
 * @param customer 1 to {@value #MAX_CUSTOMER} ASCII characters
 * @param prefix the prefix of a target, that is, of path and query as text; begins with {@code /},
 *     and {@code /} alone covers all targets; up to {@value #MAX_PREFIX} ASCII characters
 */
public record Scope(String customer, String prefix) {
  static final int MAX_CUSTOMER = 64;
  static final int MAX_PREFIX = 256;

  public Scope {
    if (!isVisibleAscii(customer, MAX_CUSTOMER)
        || !isVisibleAscii(prefix, MAX_PREFIX)
        || prefix.charAt(0) != '/') {
      throw new IllegalArgumentException(
          "customer and prefix must be visible ASCII text within their limits; prefix must begin with /");
    }
  }

  boolean covers(Scope other) {
    return matches(other.customer, other.prefix);
  }

  boolean matches(String otherCustomer, String target) {
    return customer.equals(otherCustomer) && target.startsWith(prefix);
  }

  /**
   * Distinguishes the prefixes that are requested under one key; the value is the same in each
   * process.
   */
  int prefixHash() {
    return prefix.hashCode();
  }

  /** Whether the text has 1 to {@code maxLength} visible ASCII characters, without spaces. */
  static boolean isVisibleAscii(String text, int maxLength) {
    return !text.isEmpty()
        && text.length() <= maxLength
        && text.chars().allMatch(c -> c > ' ' && c < 127);
  }
}
