package willowdoor.policy;

import java.util.Locale;
import willowdoor.policy.GatewayApi.Status;

/** Counts for the log: how calls and requests ended since the last summary. */
final class DecisionStats {
  enum RefusalReason {
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

  /** The stage in which the deadline of a request passed. */
  enum ExpiryStage {
    ARRIVAL,
    COUNTER,
    HELD,
    CONNECT,
    ANSWER
  }

  final int[] refused = new int[RefusalReason.values().length],
      expired = new int[ExpiryStage.values().length];
  final int[] counterCalls = new int[Status.values().length];

  /** Returns the load figures and the counts as text, and resets the counts. */
  String summarizeAndReset(
      double waitShare, double serviceMs, double callShare, int servingBackends, double pauseMs) {
    StringBuilder text =
        new StringBuilder(
            String.format(
                Locale.ROOT,
                "pressure=%.2f service=%.0f pace=%.2f serving=%d held_up_ms=%.0f calls",
                waitShare,
                serviceMs,
                callShare,
                servingBackends,
                pauseMs));
    appendAndReset(text, Status.values(), counterCalls);
    appendAndReset(text.append(" refused"), RefusalReason.values(), refused);
    appendAndReset(text.append(" expired"), ExpiryStage.values(), expired);
    return text.toString();
  }

  private static void appendAndReset(StringBuilder text, Enum<?>[] names, int[] counts) {
    for (Enum<?> name : names) {
      if (counts[name.ordinal()] > 0) {
        text.append(' ').append(name).append('=').append(counts[name.ordinal()]);
        counts[name.ordinal()] = 0;
      }
    }
  }
}
