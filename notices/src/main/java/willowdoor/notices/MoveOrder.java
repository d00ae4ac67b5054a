package willowdoor.notices;

import java.util.Locale;

/**
 * An order for a reader to move to another member. The order is identified by the view under which
 * it was decided (epoch and digest) and by the count of the reader's orders. The reader sends it in
 * the query of its request to the target.
 *
 * @param count number of this order among the reader's orders, from 1
 * @param key of the reader, the same at every front door
 * @param target the member to connect to
 * @param home the member to which the reader connected first and to which it returns
 * @param pace pace class in which the reader moves; null if it returns home
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
   * Returns the order as it appears in the query: numbers in base 36, joined by dots, and the pace
   * class by its first letter, or {@code -} if there is none.
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
   * Parses an order.
   *
   * @throws IllegalArgumentException for any text that {@link #text} does not return
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
