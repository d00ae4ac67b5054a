package willowdoor.purge;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import willowdoor.purge.Message.Applied;
import willowdoor.purge.Message.Apply;
import willowdoor.purge.Message.Grant;
import willowdoor.purge.Message.Purge;
import willowdoor.purge.Message.Renew;

/**
 * Tells at one front door whether what it kept may be served. Every method takes that process's
 * monotonic time in ms, not negative, read after the message or request at hand was read and before
 * anything is sent.
 */
final class Holder {
  /** Renewals whose time of sending is remembered; grants for older ones are of no use. */
  private static final int RENEWALS = 16;

  private static final int MAX_REMEMBERED = 4_096;

  /**
   * What was known when a server was about to be asked.
   *
   * @param term of the lease
   * @param count of purges carried out
   * @param beganMs that moment
   */
  public record Point(long term, long count, long beganMs) {}

  private final Fleet fleet;
  private final long boot;
  private final Rules rules;
  private long number;
  private final long[] sentAt;

  /**
   * By the keeper's place: until when its last grant counts, the runs that came with its last word,
   * and the number of its latest.
   */
  private final long[] until;

  private final List<List<Long>> carried;
  private final long[] heard;

  /** Until when a majority of grants counts. */
  private long end;

  private long term;
  private final PurgeLog log;
  private final LinkedHashSet<Long> applied;

  Holder(Fleet fleet, long boot, Rules rules) {
    this.fleet = fleet;
    this.boot = boot;
    this.rules = rules;
    sentAt = new long[RENEWALS];
    until = new long[fleet.keepers().size()];
    carried = new ArrayList<>();
    for (int i = 0; i < until.length; i++) {
      carried.add(List.of());
    }
    heard = new long[until.length];
    log = new PurgeLog();
    applied = new LinkedHashSet<>();
  }

  Holder(Holder other) {
    fleet = other.fleet;
    boot = other.boot;
    rules = other.rules;
    number = other.number;
    sentAt = other.sentAt.clone();
    until = other.until.clone();
    carried = new ArrayList<>(other.carried);
    heard = other.heard.clone();
    end = other.end;
    term = other.term;
    log = new PurgeLog(other.log);
    applied = new LinkedHashSet<>(other.applied);
  }

  /** Due each {@link Timing#renewMs}. */
  List<Effect> renew(long now) {
    number++;
    sentAt[(int) (number % RENEWALS)] = now;
    List<Effect> effects = new ArrayList<>();
    for (int i = 0; i < until.length; i++) {
      effects.add(
          new Effect.Send(
              fleet.keepers().get(i), new Renew(boot, number, heard[i], carried.get(i))));
    }
    return effects;
  }

  List<Effect> on(long now, int from, Message message) {
    List<Effect> effects = new ArrayList<>();
    if (message instanceof Apply apply) {
      apply(apply.purge(), effects);
    } else if (message instanceof Grant grant
        && grant.boot() == boot
        && fleet.keepers().contains(from)) {
      granted(now, from, grant, effects);
    }
    return effects;
  }

  private void granted(long now, int from, Grant grant, List<Effect> effects) {
    int keeper = fleet.keepers().indexOf(from);
    List<Long> runs = new ArrayList<>();
    for (Purge purge : grant.purges()) {
      apply(purge, effects);
      runs.add(purge.run());
    }
    carried.set(keeper, List.copyOf(runs));
    if (grant.number() < 1 || grant.number() > number || grant.number() <= number - RENEWALS) {
      return;
    }
    heard[keeper] = Math.max(heard[keeper], grant.number());
    if (grant.more()) {
      effects.add(new Effect.Send(from, new Renew(boot, grant.number(), heard[keeper], runs)));
      return;
    }
    boolean held = now < end;
    long sent = sentAt[(int) (grant.number() % RENEWALS)];
    until[keeper] = Math.max(until[keeper], rules.countedUntil(fleet.timing(), sent, now));
    long[] sorted = until.clone();
    Arrays.sort(sorted);
    end = sorted[sorted.length - fleet.majority()];
    if (!held && now < end) {
      term++;
      effects.add(new Effect.DropAll());
    }
  }

  private void apply(Purge purge, List<Effect> effects) {
    if (applied.add(purge.run())) {
      log.add(purge.scope());
      effects.add(new Effect.Drop(purge.scope()));
      if (applied.size() > MAX_REMEMBERED) {
        applied.remove(applied.iterator().next());
      }
    }
    effects.add(new Effect.Send(purge.from(), new Applied(purge.run(), boot)));
  }

  /**
   * To be taken before a server is asked; null where there is no lease, and then the answer is not
   * kept.
   */
  Point begin(long now) {
    return now < end ? new Point(term, log.count(), now) : null;
  }

  /**
   * Whether an answer that was begun at a point may be served now. The one check that all serving
   * goes through.
   */
  boolean mayServe(long now, String customer, String target, Point point) {
    long seen = rules.lookedAt(now, sentAt[(int) (number % RENEWALS)]);
    return seen + fleet.timing().guardMs() < end
        && rules.sameTerm(point.term(), term)
        && rules.clean(log, customer, target, point.count());
  }

  /** Whether there is a lease. */
  boolean held(long now) {
    return now < end;
  }
}
