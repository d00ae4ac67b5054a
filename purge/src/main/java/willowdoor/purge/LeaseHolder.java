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
 * Determines at one gateway whether cached answers may be served. Every method takes the time in ms
 * on this process's monotonic clock, not negative, read after the current message or request was
 * received and before anything is sent.
 */
final class LeaseHolder {
  /**
   * The number of renewals whose send time is stored; grants for older renewals do not extend the
   * lease.
   */
  private static final int RENEWALS = 16;

  private static final int MAX_REMEMBERED = 4_096;

  /**
   * The state of the lease and of the purge log immediately before a request is sent to a server.
   *
   * @param term the term of the lease
   * @param count the number of purges that were carried out
   * @param takenAtMs the time of this snapshot
   */
  public record Snapshot(long term, long count, long takenAtMs) {}

  private final Fleet fleet;
  private final long boot;
  private final Rules rules;
  private long number;
  private final long[] sentAt;

  /**
   * By the acceptor's index in {@link Fleet#acceptors}: the time until which its grants count, the
   * runs that its latest grant carried, and the highest number of its grants.
   */
  private final long[] grantedUntil;

  private final List<List<Long>> lastGrantRuns;
  private final long[] lastGrantNumbers;

  /** The time until which the grants of a majority count. */
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

  /** Sends a renewal to each acceptor; due every {@link Timing#renewMs}. */
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
   * Takes the snapshot that is needed before a request is sent to a server. Returns null if there
   * is no lease; the answer is not cached then.
   */
  Snapshot snapshot(long now) {
    return now < leaseEnd ? new Snapshot(term, log.count(), now) : null;
  }

  /**
   * Whether an answer that was requested at the time of a snapshot may be served now. Everything
   * that is served from the cache passes this check.
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
