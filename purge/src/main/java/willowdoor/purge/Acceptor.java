package willowdoor.purge;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import willowdoor.purge.Message.Accept;
import willowdoor.purge.Message.Accepted;
import willowdoor.purge.Message.Done;
import willowdoor.purge.Message.DoneAck;
import willowdoor.purge.Message.Grant;
import willowdoor.purge.Message.HolderId;
import willowdoor.purge.Message.OutstandingLease;
import willowdoor.purge.Message.Purge;
import willowdoor.purge.Message.PurgeRequest;
import willowdoor.purge.Message.Reason;
import willowdoor.purge.Message.Refused;
import willowdoor.purge.Message.Renew;
import willowdoor.purge.Message.Result;
import willowdoor.purge.Message.State;
import willowdoor.purge.Message.StatusQuery;
import willowdoor.purge.Message.StatusReply;

/**
 * One of the few gateways that grant leases and store the runs of purges, in memory only. Responses
 * of the HTTP API call acceptors "keepers". Times are in ms on this process's monotonic clock, read
 * after the current message was received.
 */
final class Acceptor {
  private static final int MAX_RUNS = 256;
  private static final int MAX_RUNS_PER_CUSTOMER = 32;
  private static final int MAX_LEASES_PER_MEMBER = 2;

  /**
   * A holder that has missed more grants than this gets no lease until it confirms a grant: it may
   * be unable to receive datagrams.
   */
  private static final int MAX_MISSED_GRANTS = 3;

  /**
   * The bytes that the runs of one grant may take in a datagram, and the bytes that each run takes
   * in addition to its text.
   */
  private static final int MAX_GRANT_RUN_BYTES = 1_300;

  private static final int RUN_OVERHEAD_BYTES = 24;

  /**
   * A run that this acceptor holds. {@code uncoveredLeases}: the leases that were granted before
   * the run was accepted and whose holders have not confirmed the run, with the time at which each
   * lease ends.
   */
  private static final class HeldRun {
    final Purge purge;
    final long acceptance;
    long lastAcceptAt;
    final TreeMap<HolderId, Long> uncoveredLeases;
    final TreeSet<HolderId> applied;

    HeldRun(Purge purge, long acceptance, TreeMap<HolderId, Long> uncoveredLeases) {
      this.purge = purge;
      this.acceptance = acceptance;
      this.uncoveredLeases = uncoveredLeases;
      applied = new TreeSet<>();
    }

    HeldRun(HeldRun other) {
      purge = other.purge;
      acceptance = other.acceptance;
      lastAcceptAt = other.lastAcceptAt;
      uncoveredLeases = new TreeMap<>(other.uncoveredLeases);
      applied = new TreeSet<>(other.applied);
    }
  }

  /** What is known about a purge id; the result is null while the purge is open. */
  private record KnownPurge(Scope scope, int prefixHash, Result result) {}

  private final Fleet fleet;
  private final long boot;
  private final Rules rules;
  private final long readyAt;
  private long acceptances;
  private final TreeMap<HolderId, Long> leases;
  private final LinkedHashMap<Long, HeldRun> heldRuns;
  private final RecentPurges<KnownPurge> known;

  Acceptor(Fleet fleet, long boot, long now, Rules rules) {
    this.fleet = fleet;
    this.boot = boot;
    this.rules = rules;
    readyAt = now + rules.silenceMs(fleet.timing());
    leases = new TreeMap<>();
    heldRuns = new LinkedHashMap<>();
    known = new RecentPurges<>();
  }

  Acceptor(Acceptor other) {
    fleet = other.fleet;
    boot = other.boot;
    rules = other.rules;
    readyAt = other.readyAt;
    acceptances = other.acceptances;
    leases = new TreeMap<>(other.leases);
    heldRuns = new LinkedHashMap<>();
    other.heldRuns.forEach((run, heldRun) -> heldRuns.put(run, new HeldRun(heldRun)));
    known = new RecentPurges<>(other.known);
  }

  List<Effect> onMessage(long now, int from, Message message) {
    removeExpired(now);
    List<Effect> effects = new ArrayList<>();
    if (message instanceof Renew renew && now >= readyAt) {
      renew(now, from, renew, effects);
    } else if (message instanceof Accept accept) {
      accept(now, from, accept, effects);
    } else if (message instanceof Done done) {
      heldRuns.remove(done.purge().run());
      for (PurgeRequest request : done.requests()) {
        known.put(
            now,
            request.id(),
            new KnownPurge(done.purge().scope(), request.prefixHash(), done.result()));
      }
      effects.add(new Effect.Send(from, new DoneAck(done.purge().run())));
    } else if (message instanceof StatusQuery query) {
      effects.add(new Effect.Send(from, statusReply(now, query)));
    }
    return effects;
  }

  /**
   * Removes leases whose record has ended, and runs for which no {@link Accept} has arrived for
   * {@link Timing#keepMs}.
   */
  private void removeExpired(long now) {
    leases.values().removeIf(until -> until <= now);
    heldRuns.values().removeIf(heldRun -> heldRun.lastAcceptAt + fleet.timing().keepMs() <= now);
  }

  private void renew(long now, int from, Renew renew, List<Effect> effects) {
    HolderId holder = new HolderId(from, renew.boot());
    if (!leases.containsKey(holder) && leasesOf(from) >= MAX_LEASES_PER_MEMBER) {
      return;
    }
    for (long run : renew.applied()) {
      HeldRun heldRun = heldRuns.get(run);
      if (heldRun != null) {
        heldRun.applied.add(holder);
        heldRun.uncoveredLeases.remove(holder);
      }
    }
    List<Purge> purges = new ArrayList<>();
    boolean more = renew.number() - renew.lastGrantNumber() > MAX_MISSED_GRANTS;
    int bytesLeft = MAX_GRANT_RUN_BYTES;
    for (HeldRun heldRun : heldRuns.values()) {
      if (!rules.grantsCarryRuns() || heldRun.applied.contains(holder)) {
        continue;
      }
      bytesLeft -=
          RUN_OVERHEAD_BYTES
              + heldRun.purge.scope().customer().length()
              + heldRun.purge.scope().prefix().length();
      if (bytesLeft < 0) {
        more = true;
        break;
      }
      purges.add(heldRun.purge);
    }
    if (!more) {
      leases.put(holder, now + rules.leaseRecordMs(fleet.timing()));
    }
    effects.add(new Effect.Send(from, new Grant(renew.boot(), renew.number(), more, purges)));
  }

  private int leasesOf(int member) {
    return leases.subMap(new HolderId(member, 0), new HolderId(member + 1, 0)).size();
  }

  private void accept(long now, int from, Accept accept, List<Effect> effects) {
    long run = accept.purge().run();
    for (PurgeRequest request : accept.requests()) {
      KnownPurge knownPurge = known.get(request.id());
      if (knownPurge != null && knownPurge.prefixHash() != request.prefixHash()) {
        effects.add(new Effect.Send(from, new Refused(run, Reason.KEY_USED, request.id())));
        return;
      }
      if (knownPurge != null && knownPurge.result() != null) {
        effects.add(new Effect.Send(from, statusReply(0, request.id(), knownPurge)));
      }
    }
    HeldRun heldRun = heldRuns.get(run);
    if (now < readyAt || heldRun == null && full(accept.purge().scope().customer())) {
      Reason reason = now < readyAt ? Reason.NOT_READY : Reason.FULL;
      effects.add(new Effect.Send(from, new Refused(run, reason, null)));
      return;
    }
    if (heldRun == null) {
      heldRun =
          new HeldRun(accept.purge(), boot << 24 | ++acceptances & 0xffffff, new TreeMap<>(leases));
      heldRuns.put(run, heldRun);
    }
    heldRun.lastAcceptAt = now;
    heldRun.uncoveredLeases.values().removeIf(until -> until <= now);
    for (PurgeRequest request : accept.requests()) {
      if (known.get(request.id()) == null) {
        known.put(
            now, request.id(), new KnownPurge(accept.purge().scope(), request.prefixHash(), null));
      }
    }
    for (int page = 0; page < fleet.pages(); page++) {
      effects.add(
          new Effect.Send(
              from,
              new Accepted(
                  run,
                  accept.number(),
                  heldRun.acceptance,
                  page,
                  outstanding(now, heldRun, page))));
    }
  }

  private static List<OutstandingLease> outstanding(long now, HeldRun heldRun, int page) {
    List<OutstandingLease> list = new ArrayList<>();
    HolderId first = new HolderId(page * Fleet.MEMBERS_PER_PAGE, 0);
    for (Map.Entry<HolderId, Long> lease : heldRun.uncoveredLeases.tailMap(first).entrySet()) {
      if (lease.getKey().member() >= (page + 1) * Fleet.MEMBERS_PER_PAGE) {
        break;
      }
      list.add(new OutstandingLease(lease.getKey(), lease.getValue() - now));
    }
    return list;
  }

  private boolean full(String customer) {
    int ofCustomer = 0;
    for (HeldRun heldRun : heldRuns.values()) {
      ofCustomer += heldRun.purge.scope().customer().equals(customer) ? 1 : 0;
    }
    return heldRuns.size() >= MAX_RUNS || ofCustomer >= MAX_RUNS_PER_CUSTOMER;
  }

  private StatusReply statusReply(long now, StatusQuery query) {
    KnownPurge purge = known.get(query.id());
    if (purge == null) {
      State state = now < readyAt ? State.NOT_READY : State.UNKNOWN;
      return new StatusReply(query.number(), query.id(), state, null, 0, null);
    }
    return statusReply(query.number(), query.id(), purge);
  }

  private static StatusReply statusReply(long number, PurgeId id, KnownPurge purge) {
    State state = purge.result() == null ? State.OPEN : State.DONE;
    return new StatusReply(number, id, state, purge.scope(), purge.prefixHash(), purge.result());
  }
}
