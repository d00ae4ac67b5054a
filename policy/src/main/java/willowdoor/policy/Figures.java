package willowdoor.policy;

import java.util.Locale;
import willowdoor.policy.GatewayApi.Status;

/** What the log tells: how calls and requests ended since last asked. */
final class Figures {
  enum Refusal {
    FULL,
    LATE,
    PRESSED,
    OPEN_LIMIT,
    SPENT,
    BEYOND,
    UNCONFIRMED,
    NO_BACKEND,
    GIVEN_UP
  }

  /** What a request came to or waited for as its time ran out. */
  enum Stage {
    ARRIVAL,
    COUNTER,
    HELD,
    CONNECT,
    ANSWER
  }

  final int[] refused = new int[Refusal.values().length], expired = new int[Stage.values().length];
  final int[] callEnds = new int[Status.values().length];

  /** The counts, after what the guards see; they begin anew. */
  String text(double pressure, double service, double pace, int serving, double heldUpMs) {
    StringBuilder text =
        new StringBuilder(
            String.format(
                Locale.ROOT,
                "pressure=%.2f service=%.0f pace=%.2f serving=%d held_up_ms=%.0f calls",
                pressure,
                service,
                pace,
                serving,
                heldUpMs));
    append(text, Status.values(), callEnds);
    append(text.append(" refused"), Refusal.values(), refused);
    append(text.append(" expired"), Stage.values(), expired);
    return text.toString();
  }

  private static void append(StringBuilder text, Enum<?>[] names, int[] counts) {
    for (Enum<?> name : names) {
      if (counts[name.ordinal()] > 0) {
        text.append(' ').append(name).append('=').append(counts[name.ordinal()]);
        counts[name.ordinal()] = 0;
      }
    }
  }
}
