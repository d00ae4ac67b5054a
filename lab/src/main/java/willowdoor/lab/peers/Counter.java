package willowdoor.lab.peers;

import java.math.BigDecimal;
import java.math.MathContext;
import java.util.HashMap;
import java.util.Map;

/**
 * The numbers that the counter keeps, by name; each is forgotten when its time is over. Without
 * sockets.
 */
final class Counter {

  private static final double MOST_AMOUNT = 1e9;
  private static final int MOST_NAME = 64;
  private static final long MOST_TTL_MS = 60_000;
  private static final int MOST_NAMES = 1_000_000;
  private static final MathContext EXACT = new MathContext(15);

  /** A call as it is written: {@code incr NAME AMOUNT TTL}. */
  record Call(String name, double amount, long ttlMs) {

    /** Null where the line is no such call. */
    static Call parse(String line) {
      String[] words = line.split(" ");
      try {
        if (words.length == 4
            && words[0].equals("incr")
            && !words[1].isEmpty()
            && words[1].length() <= MOST_NAME) {
          double amount = new BigDecimal(words[2]).doubleValue();
          long ttl = Long.parseLong(words[3]);
          if (Math.abs(amount) <= MOST_AMOUNT && ttl >= 1) {
            return new Call(words[1], amount, Math.min(ttl, MOST_TTL_MS));
          }
        }
      } catch (NumberFormatException e) {
        // Falls through: a call with a number that is none is no call.
      }
      return null;
    }
  }

  private static final class StoredNumber {
    double total;
    long endUs;
  }

  private final Map<String, StoredNumber> numbers = new HashMap<>();
  private long sweepUs;

  /** Adds, and tells the total; a name whose time is over begins anew. */
  double add(Call call, long nowUs) {
    if (nowUs >= sweepUs || numbers.size() >= MOST_NAMES) {
      numbers.values().removeIf(n -> n.endUs <= nowUs);
      sweepUs = nowUs + 1_000_000;
    }
    StoredNumber number = numbers.get(call.name());
    if (number == null || number.endUs <= nowUs) {
      number = new StoredNumber();
      number.endUs = nowUs + 1_000 * call.ttlMs();
      numbers.put(call.name(), number);
    }
    number.total += call.amount();
    return number.total;
  }

  void forget() {
    numbers.clear();
  }

  static String text(double total) {
    return BigDecimal.valueOf(total).round(EXACT).stripTrailingZeros().toPlainString();
  }
}
