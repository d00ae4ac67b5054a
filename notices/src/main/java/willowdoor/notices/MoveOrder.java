package willowdoor.notices;

import java.util.Locale;

/**
 * Where a reader is to go. Its number is the view under which it was decided (epoch and digest) and
 * the count of this reader's orders; it travels with the reader, in the address it is told.
 *
 * @param count of this reader's orders, from 1
 * @param key the reader's, the same at every front door
 * @param target the member it is to go to
 * @param home the member it came to first, where it goes back to
 * @param pace the class it goes there as; null for one that goes back home
 */
public record MoveOrder(
    long epoch,
    long digest,
    long count,
    long key,
    long customer,
    int target,
    int home,
    PaceClass pace) {

  /**
   * As in the address: numbers to the base 36, joined by dots, the class by its first letter or
   * {@code -}.
   */
  public String text() {
    return String.join(
        ".",
        n(epoch),
        n(digest),
        n(count),
        n(key),
        n(customer),
        n(target),
        n(home),
        pace == null ? "-" : pace.name().substring(0, 1).toLowerCase(Locale.ROOT));
  }

  private static String n(long number) {
    return Long.toUnsignedString(number, 36);
  }

  /**
   * @throws IllegalArgumentException for anything that {@link #text} does not give
   */
  static MoveOrder parse(String text) {
    String[] parts = text.length() > 120 ? new String[0] : text.split("\\.", 9);
    if (parts.length != 8) {
      throw new IllegalArgumentException("the move's number has not eight parts");
    }
    PaceClass pace = null;
    for (PaceClass known : PaceClass.values()) {
      pace = known.name().substring(0, 1).toLowerCase(Locale.ROOT).equals(parts[7]) ? known : pace;
    }
    MoveOrder order;
    try {
      long[] n = new long[7];
      for (int i = 0; i < n.length; i++) {
        n[i] = Long.parseUnsignedLong(parts[i], 36);
      }
      order =
          new MoveOrder(
              n[0], n[1], n[2], n[3], n[4], Math.toIntExact(n[5]), Math.toIntExact(n[6]), pace);
    } catch (ArithmeticException | NumberFormatException e) {
      throw new IllegalArgumentException("the move's number is not one that a front door gave", e);
    }
    if (order.count < 1 || !order.text().equals(text)) {
      throw new IllegalArgumentException("the move's number is not one that a front door gave");
    }
    return order;
  }
}
