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
final class LeaseHolder {
  /** Renewals whose time of sending is remembered; grants for older ones are of no use. */
  private static final int RENEWALS = 16;

  private static final int MAX_REMEMBERED = 4_096;

  /**
   * What was known when a server was about to be asked.
   *
   * @param term of the lease
   * @param count of purges carried out
   * @param takenAtMs that moment
   */
  public record Snapshot(long term, long count, long takenAtMs) {}

  private final Fleet fleet;
  private final long boot;
  private final Rules rules;
  private long number;
  private final long[] sentAt;

  /**
   * By the keeper's place: until when its last grant counts, the runs that came with its last word,
   * and the number of its latest.
   */
  private final long[] grantedUntil;

  private final List<List<Long>> lastGrantRuns;
  private final long[] lastGrantNumbers;

  /** Until when a majority of grants counts. */
  private long leaseEnd;

  private long term;
  private final PurgeLog log;
  private final LinkedHashSet<Long> applied;

  LeaseHolder(Fleet fleet, long boot, Rules rules) {
    this.fleet = fleet;
    this.boot = boot;
    this.rules = rules;
    sentAt = new long[RENEWALS];
    grantedUntil = new long[fleet.acceptors().size()];
    lastGrantRuns = new ArrayList<>();
    for (int i = 0; i < grantedUntil.length; i++) {
      lastGrantRuns.add(List.of());
    }
    lastGrantNumbers = new long[grantedUntil.length];
    log = new PurgeLog();
    applied = new LinkedHashSet<>();
  }

  LeaseHolder(LeaseHolder other) {
    fleet = other.fleet;
    boot = other.boot;
    rules = other.rules;
    number = other.number;
    sentAt = other.sentAt.clone();
    grantedUntil = other.grantedUntil.clone();
    lastGrantRuns = new ArrayList<>(other.lastGrantRuns);
    lastGrantNumbers = other.lastGrantNumbers.clone();
    leaseEnd = other.leaseEnd;
    term = other.term;
    log = new PurgeLog(other.log);
    applied = new LinkedHashSet<>(other.applied);
  }

  /** Due each {@link Timing#renewMs}. */
  List<Effect> renew(long now) {
    number++;
    sentAt[(int) (number % RENEWALS)] = now;
    List<Effect> effects = new ArrayList<>();
    for (int i = 0; i < grantedUntil.length; i++) {
      effects.add(
          new Effect.Send(
              fleet.acceptors().get(i),
              new Renew(boot, number, lastGrantNumbers[i], lastGrantRuns.get(i))));
    }
    return effects;
  }

  List<Effect> onMessage(long now, int from, Message message) {
    List<Effect> effects = new ArrayList<>();
    if (message instanceof Apply apply) {
      apply(apply.purge(), effects);
    } else if (message instanceof Grant grant
        && grant.boot() == boot
        && fleet.acceptors().contains(from)) {
      onGrant(now, from, grant, effects);
    }
    return effects;
  }

  private void onGrant(long now, int from, Grant grant, List<Effect> effects) {
    int index = fleet.acceptors().indexOf(from);
    List<Long> runs = new ArrayList<>();
    for (Purge purge : grant.purges()) {
      apply(purge, effects);
      runs.add(purge.run());
    }
    lastGrantRuns.set(index, List.copyOf(runs));
    if (grant.number() < 1 || grant.number() > number || grant.number() <= number - RENEWALS) {
      return;
    }
    lastGrantNumbers[index] = Math.max(lastGrantNumbers[index], grant.number());
    if (grant.moreRuns()) {
      effects.add(
          new Effect.Send(from, new Renew(boot, grant.number(), lastGrantNumbers[index], runs)));
      return;
    }
    boolean hadLease = now < leaseEnd;
    long sent = sentAt[(int) (grant.number() % RENEWALS)];
    grantedUntil[index] =
        Math.max(grantedUntil[index], rules.grantCountedUntil(fleet.timing(), sent, now));
    long[] sorted = grantedUntil.clone();
    Arrays.sort(sorted);
    leaseEnd = sorted[sorted.length - fleet.majority()];
    if (!hadLease && now < leaseEnd) {
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
    effects.add(new Effect.Send(purge.coordinator(), new Applied(purge.run(), boot)));
  }

  /**
   * To be taken before a server is asked; null where there is no lease, and then the answer is not
   * kept.
   */
  Snapshot snapshot(long now) {
    return now < leaseEnd ? new Snapshot(term, log.count(), now) : null;
  }

  /**
   * Whether an answer that was begun at a point may be served now. The one check that all serving
   * goes through.
   */
  boolean mayServe(long now, String customer, String target, Snapshot snapshot) {
    long checkTime = rules.leaseCheckTime(now, sentAt[(int) (number % RENEWALS)]);
    return checkTime + fleet.timing().guardMs() < leaseEnd
        && rules.sameTerm(snapshot.term(), term)
        && rules.notPurgedSince(log, customer, target, snapshot.count());
  }

  /** Whether there is a lease. */
  boolean hasLease(long now) {
    return now < leaseEnd;
  }
}
