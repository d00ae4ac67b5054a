package willowdoor.members;

import java.io.IOException;
import java.util.Map;

/**
 * All times and bounds of the protocol, in milliseconds where nothing else is said. The defaults
 * are for a fleet on one network: a killed member of 100 is known to all within 3 s, see {@code
 * docs/members.md}.
 *
 * @param probe from one probe to the next
 * @param ackWithin after this without an ack others are asked to probe; less than {@code probe}
 * @param helpers how many are asked
 * @param suspicion the least time of a suspicion, in intervals, times log10 of the members, of 100
 *     where there are fewer
 * @param suspicionMost the longest, in least ones
 * @param confirmations how many further accusers bring it down to the least
 * @param healthMost the largest local health score
 * @param retell how often a member tells one piece of news, times ln(members + 1)
 * @param newsBytes of news on a probe or its answer, at most, unless one statement takes more
 * @param urgentBytes the same while it tells of failures and suspicions: a fleet that heals tells
 *     few of these
 * @param absent from one probe of an absent member to the next
 * @param exchange from one regular exchange to the next
 * @param exchangeGap least time between exchanges out of turn
 * @param outOfStep for so long nobody heard had the own view: an exchange out of turn is due
 * @param joinRetry from one asking to the next while joining
 * @param joinAlone when a joining process goes on alone
 * @param noAnswer no probe was answered for so long: cut off
 * @param heldUp a wake-up that is late by more shows that the process was held up
 * @param twin this long is looked back for one that was started under the same name
 * @param lifeguard whether the extensions named Lifeguard are in force
 */
record Timing(
    long probe,
    long ackWithin,
    int helpers,
    double suspicion,
    double suspicionMost,
    int confirmations,
    int healthMost,
    double retell,
    int newsBytes,
    int urgentBytes,
    long absent,
    long exchange,
    long exchangeGap,
    long outOfStep,
    long joinRetry,
    long joinAlone,
    long noAnswer,
    long heldUp,
    long twin,
    boolean lifeguard) {

  private static final long HOUR = 3_600_000;

  static Timing of(Map<String, Object> fields) throws IOException {
    return read(new Fields(fields, "timing"));
  }

  static Timing read(Fields in) throws IOException {
    long probe = in.whole("probe_ms", 10, HOUR, 150);
    Timing timing =
        new Timing(
            probe,
            in.whole("ack_within_ms", 1, probe - 1, Math.max(1, probe * 2 / 5)),
            (int) in.whole("helpers", 0, 16, 3),
            in.decimal("suspicion", 0.1, 1_000, 4),
            in.decimal("suspicion_most", 1, 100, 6),
            (int) in.whole("confirmations", 0, Statement.MOST_ACCUSERS - 1, 3),
            (int) in.whole("health_most", 0, 100, 8),
            in.decimal("retell", 0.1, 100, 2),
            (int) in.whole("news_bytes", 0, 1_000, 80),
            (int) in.whole("urgent_bytes", 0, 1_000, 300),
            in.whole("absent_ms", 10, HOUR, 10 * probe),
            in.whole("exchange_ms", 10, HOUR, 50 * probe),
            in.whole("exchange_gap_ms", 1, HOUR, 5 * probe),
            in.whole("out_of_step_ms", 1, HOUR, 3 * probe),
            in.whole("join_retry_ms", 10, HOUR, 2 * probe),
            in.whole("join_alone_ms", 0, HOUR, 20 * probe),
            in.whole("no_answer_ms", 10, HOUR, 20 * probe),
            in.whole("held_up_ms", 1, HOUR, probe),
            in.whole("twin_ms", 10, HOUR, 200 * probe),
            in.flag("lifeguard", true));
    in.end();
    return timing;
  }

  /** The least time of a suspicion among so many members. */
  long suspicionLeast(int members) {
    return (long) Math.ceil(suspicion * Math.log10(Math.max(100, members)) * probe);
  }

  /** The time of a suspicion among so many that so many have confirmed, of those that might. */
  long suspicionFor(int members, int confirmed, int expected) {
    double least = suspicionLeast(members);
    if (!lifeguard || expected <= 0) {
      return (long) least;
    }
    double most = least * suspicionMost;
    return (long)
        Math.max(least, most - (most - least) * Math.log(confirmed + 1) / Math.log(expected + 1));
  }

  int tellings(int members) {
    return (int) Math.ceil(retell * Math.log(members + 1));
  }
}
