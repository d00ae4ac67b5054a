package willowdoor.purge;

/**
 * What a purge covers.
 *
 * @param customer 1 to {@value #MAX_CUSTOMER} characters of ASCII
 * @param prefix of a target, that is path and query as text: begins with {@code /}, which alone is
 *     all; up to {@value #MAX_PREFIX} characters of ASCII
 */
public record Scope(String customer, String prefix) {
  static final int MAX_CUSTOMER = 64;
  static final int MAX_PREFIX = 256;

  public Scope {
    if (!isVisibleAscii(customer, MAX_CUSTOMER)
        || !isVisibleAscii(prefix, MAX_PREFIX)
        || prefix.charAt(0) != '/') {
      throw new IllegalArgumentException("a customer, and a prefix that begins with /");
    }
  }

  boolean covers(Scope other) {
    return matches(other.customer, other.prefix);
  }

  boolean matches(String otherCustomer, String target) {
    return customer.equals(otherCustomer) && target.startsWith(prefix);
  }

  /** Tells one prefix asked for under a key from another; the same in each process. */
  int prefixHash() {
    return prefix.hashCode();
  }

  /** Whether it is 1 to {@code maxLength} characters that ASCII shows, without spaces. */
  static boolean isVisibleAscii(String text, int maxLength) {
    return !text.isEmpty()
        && text.length() <= maxLength
        && text.chars().allMatch(c -> c > ' ' && c < 127);
  }
}
