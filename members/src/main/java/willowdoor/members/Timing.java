package willowdoor.members;

import java.io.IOException;
import java.util.Map;

/**
 * All time-outs and limits of the protocol, in milliseconds unless stated otherwise. The defaults
 * are for a fleet on one network: in a fleet of 100 members, every other member marks a killed
 * member as failed within 3 s, see {@code docs/members.md}.
 *
 * @param probeMs interval between probes
 * @param ackTimeoutMs time without an ack after which other members are requested to probe; less
 *     than {@code probeMs}
 * @param helpers number of members that are requested to probe
 * @param suspicionFactor the minimum suspicion time-out, in probe intervals per log10 of the fleet
 *     size; a fleet of fewer than 100 members counts as 100
 * @param maxSuspicionFactor the maximum suspicion time-out, as a multiple of the minimum
 * @param confirmations number of further accusers that reduce the time-out to the minimum
 * @param maxHealthScore the largest local health score
 * @param retransmitFactor how often a member sends one gossip entry, times ln(members + 1)
 * @param gossipBytes maximum bytes of gossip in a message, unless a single statement is larger
 * @param urgentGossipBytes the same limit for statements about failures and suspicions; a fleet
 *     whose partition heals sends few of these
 * @param absentProbeMs interval between probes of absent members
 * @param exchangeMs interval between regular exchanges
 * @param exchangeGapMs minimum time between extra exchanges
 * @param noEqualViewMs an extra exchange is due when no message with the own view's digest has
 *     arrived for this long
 * @param joinRetryMs interval between requests while joining
 * @param joinAloneMs time after which a joining process completes the join without a response
 * @param noAnswerMs this process is isolated when no probe was acknowledged for this long
 * @param stallMs a wake-up that is later than this shows that the process was stalled
 * @param duplicateWindowMs the period within which newer statements about this process are counted
 *     to detect a second process with the same name
 * @param lifeguard whether the Lifeguard extensions of SWIM are enabled
 */
record Timing(
    long probeMs,
    long ackTimeoutMs,
    int helpers,
    double suspicionFactor,
    double maxSuspicionFactor,
    int confirmations,
    int maxHealthScore,
    double retransmitFactor,
    int gossipBytes,
    int urgentGossipBytes,
    long absentProbeMs,
    long exchangeMs,
    long exchangeGapMs,
    long noEqualViewMs,
    long joinRetryMs,
    long joinAloneMs,
    long noAnswerMs,
    long stallMs,
    long duplicateWindowMs,
    boolean lifeguard) {

  private static final long HOUR = 3_600_000;

  static Timing of(Map<String, Object> fields) throws IOException {
    return read(new ConfigObject(fields, "timing"));
  }

  static Timing read(ConfigObject in) throws IOException {
    long probe = in.integer("probe_ms", 10, HOUR, 150);
    Timing timing =
        new Timing(
            probe,
            in.integer("ack_within_ms", 1, probe - 1, Math.max(1, probe * 2 / 5)),
            (int) in.integer("helpers", 0, 16, 3),
            in.decimal("suspicion", 0.1, 1_000, 4),
            in.decimal("suspicion_most", 1, 100, 6),
            (int) in.integer("confirmations", 0, Statement.MAX_ACCUSERS - 1, 3),
            (int) in.integer("health_most", 0, 100, 8),
            in.decimal("retell", 0.1, 100, 2),
            (int) in.integer("news_bytes", 0, 1_000, 80),
            (int) in.integer("urgent_bytes", 0, 1_000, 300),
            in.integer("absent_ms", 10, HOUR, 10 * probe),
            in.integer("exchange_ms", 10, HOUR, 50 * probe),
            in.integer("exchange_gap_ms", 1, HOUR, 5 * probe),
            in.integer("out_of_step_ms", 1, HOUR, 3 * probe),
            in.integer("join_retry_ms", 10, HOUR, 2 * probe),
            in.integer("join_alone_ms", 0, HOUR, 20 * probe),
            in.integer("no_answer_ms", 10, HOUR, 20 * probe),
            in.integer("held_up_ms", 1, HOUR, probe),
            in.integer("twin_ms", 10, HOUR, 200 * probe),
            in.bool("lifeguard", true));
    in.requireAllKeysRead();
    return timing;
  }

  /** The minimum suspicion time-out in a fleet of {@code members}. */
  long minSuspicionMs(int members) {
    return (long) Math.ceil(suspicionFactor * Math.log10(Math.max(100, members)) * probeMs);
  }

  /**
   * The suspicion time-out in a fleet of {@code members} after {@code confirmed} of the {@code
   * expected} confirmations.
   */
  long suspicionMs(int members, int confirmed, int expected) {
    double min = minSuspicionMs(members);
    if (!lifeguard || expected <= 0) {
      return (long) min;
    }
    double max = min * maxSuspicionFactor;
    return (long)
        Math.max(min, max - (max - min) * Math.log(confirmed + 1) / Math.log(expected + 1));
  }

  /** How often a member sends one gossip entry in a fleet of {@code members}. */
  int transmitLimit(int members) {
    return (int) Math.ceil(retransmitFactor * Math.log(members + 1));
  }
}
