package willowdoor.policy;

import java.util.Locale;
import willowdoor.policy.GatewayApi.Status;

/** Counts for the log: how calls and requests ended since the last summary. */
final class DecisionStats {
  /** Why a request was refused. The log prints the names of the constants. */
  enum RefusalReason {
    /** This gateway has too many open requests. */
    FULL,
    /** The request arrived too close to its deadline. */
    LATE,
    /** The expected wait for a backend is too long for the value of the request. */
    PRESSED,
    /** The customer has too many open requests. */
    OPEN_LIMIT,
    /**
     * The quota is certainly exhausted, or the counter was not called because of the call share.
     */
    SPENT,
    /** The request is over the quota or the ceiling, by a total that the counter has confirmed. */
    BEYOND,
    /** Without a confirmation by the counter, the request was not admitted. */
    UNCONFIRMED,
    /** No attempt was started before the gateway gave up. */
    NO_BACKEND,
    /** The attempts have failed, and the client can safely retry. */
    GIVEN_UP
  }

  /**
   * The stage in which the deadline of a request passed. The log prints the names of the constants.
   */
  enum ExpiryStage {
    /** On arrival. */
    ARRIVAL,
    /** During a call to the counter, before the first attempt. */
    COUNTER,
    /** While the request waited for a backend, before the first attempt. */
    HELD,
    /** After a failed connect. */
    CONNECT,
    /** After an attempt whose connect did not fail. */
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
