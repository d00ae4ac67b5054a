package willowdoor.policy;

import java.util.Locale;
import willowdoor.policy.GatewayApi.Status;

/** What the log tells: how calls and requests ended since last asked. */
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

  /** What a request came to or waited for as its time ran out. */
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

  /** The counts, after what the guards see; they begin anew. */
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
