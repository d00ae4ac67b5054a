package willowdoor.purge;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import willowdoor.purge.Message.Accept;
import willowdoor.purge.Message.Accepted;
import willowdoor.purge.Message.Applied;
import willowdoor.purge.Message.Apply;
import willowdoor.purge.Message.Claim;
import willowdoor.purge.Message.HolderId;
import willowdoor.purge.Message.Outstanding;
import willowdoor.purge.Message.Purge;
import willowdoor.purge.Message.Result;

/** One run of a purge at its coordinator: whom it reached, and when the promise holds. */
final class Round {
  private static final int MAX_CLAIMS = 32;
  private static final int MAX_GAP = 8;

  /**
   * What one keeper said of one acceptance. {@code waits}: by the coordinator's clock, until when a
   * lease may run.
   */
  private static final class Witness {
    final long acceptance;
    int number;

    /** By page: when the latest sending that it answers was sent, -1 before any. */
    final long[] sentAt;

    final TreeMap<HolderId, Long> waits;

    Witness(long acceptance, int pages) {
      this.acceptance = acceptance;
      sentAt = new long[pages];
      Arrays.fill(sentAt, -1);
      waits = new TreeMap<>();
    }

    Witness(Witness other) {
      acceptance = other.acceptance;
      number = other.number;
      sentAt = other.sentAt.clone();
      waits = new TreeMap<>(other.waits);
    }

    boolean counts(long now, long countMs) {
      for (long sent : sentAt) {
        if (sent < 0 || now >= sent + countMs) {
          return false;
        }
      }
      return true;
    }
  }

  private final Fleet fleet;
  private final Rules rules;
  private Purge purge;
  private final LinkedHashMap<PurgeId, Claim> claims;

  /** When each sending was made; empty while it waits for a place. */
  private final List<Long> sentAt;

  private long resendAt;
  private long gap;
  private boolean committed;
  private boolean full;
  private final TreeMap<Integer, Witness> witnesses;
  private final TreeSet<HolderId> applied;

  /** Holders that a keeper has named and that have not confirmed. */
  private final TreeSet<HolderId> pending;

  Round(Fleet fleet, Rules rules, Purge purge, Claim claim) {
    this.fleet = fleet;
    this.rules = rules;
    this.purge = purge;
    claims = new LinkedHashMap<>();
    claims.put(claim.id(), claim);
    sentAt = new ArrayList<>();
    gap = fleet.timing().resendMs();
    witnesses = new TreeMap<>();
    applied = new TreeSet<>();
    pending = new TreeSet<>();
  }

  Round(Round other) {
    fleet = other.fleet;
    rules = other.rules;
    purge = other.purge;
    claims = new LinkedHashMap<>(other.claims);
    sentAt = new ArrayList<>(other.sentAt);
    resendAt = other.resendAt;
    gap = other.gap;
    committed = other.committed;
    full = other.full;
    witnesses = new TreeMap<>();
    other.witnesses.forEach((keeper, witness) -> witnesses.put(keeper, new Witness(witness)));
    applied = new TreeSet<>(other.applied);
    pending = new TreeSet<>(other.pending);
  }

  Purge purge() {
    return purge;
  }

  Map<PurgeId, Claim> claims() {
    return claims;
  }

  boolean started() {
    return !sentAt.isEmpty();
  }

  /** Whether a majority of keepers has held it at once. */
  boolean committed() {
    return committed;
  }

  /** Whether a keeper had no room for it. */
  boolean full() {
    return full;
  }

  void refusedForRoom() {
    full = true;
  }

  long startedAt() {
    return sentAt.get(0);
  }

  /** Takes a purge into this run, which is not sent yet, where one covers the other. */
  boolean join(Claim claim, Scope scope) {
    boolean wider = scope.covers(purge.scope());
    if (started() || claims.size() >= MAX_CLAIMS || !wider && !purge.scope().covers(scope)) {
      return false;
    }
    if (wider) {
      purge = new Purge(purge.run(), purge.from(), scope);
    }
    claims.put(claim.id(), claim);
    return true;
  }

  /** First to all; then, when it is due, to the keepers and those that are still waited for. */
  List<Effect> due(long now) {
    List<Effect> effects = new ArrayList<>();
    if (now < resendAt) {
      return effects;
    }
    boolean first = !started();
    Accept accept = new Accept(purge, sentAt.size(), List.copyOf(claims.values()));
    sentAt.add(now);
    resendAt = now + gap;
    gap = Math.min(2 * gap, MAX_GAP * fleet.timing().resendMs());
    for (int keeper : fleet.keepers()) {
      effects.add(new Effect.Send(keeper, accept));
    }
    TreeSet<Integer> members = new TreeSet<>(first ? fleet.members() : List.of());
    for (HolderId holder : pending) {
      members.add(holder.member());
    }
    for (int member : members) {
      effects.add(new Effect.Send(member, new Apply(purge)));
    }
    return effects;
  }

  void on(int from, Applied message) {
    HolderId holder = new HolderId(from, message.boot());
    if (applied.size() < 4 * fleet.members().size() && fleet.members().contains(from)) {
      applied.add(holder);
      pending.remove(holder);
    }
  }

  void on(long now, int from, Accepted message) {
    int page = message.page();
    if (message.number() < 0
        || message.number() >= sentAt.size()
        || page < 0
        || page >= fleet.pages()
        || !fleet.keepers().contains(from)) {
      return;
    }
    Witness witness = witnesses.get(from);
    if (witness == null
        || witness.acceptance != message.acceptance() && message.number() >= witness.number) {
      witness = new Witness(message.acceptance(), fleet.pages());
      witnesses.put(from, witness);
    } else if (witness.acceptance != message.acceptance()) {
      return;
    }
    witness.number = Math.max(witness.number, message.number());
    // What one answer of an acceptance does not name any more is settled for good, whatever order
    // they come
    // in.
    boolean first = witness.sentAt[page] < 0;
    witness.sentAt[page] = Math.max(witness.sentAt[page], sentAt.get(message.number()));
    TreeMap<HolderId, Long> named = new TreeMap<>();
    for (Outstanding lease : message.outstanding()) {
      named.put(lease.holder(), now + lease.leftMs() + fleet.timing().roundMs());
    }
    if (!first) {
      named.keySet().retainAll(witness.waits.keySet());
      witness
          .waits
          .keySet()
          .removeIf(holder -> holder.member() / Fleet.PAGE == page && !named.containsKey(holder));
    }
    named.forEach((holder, wait) -> witnesses.get(from).waits.merge(holder, wait, Math::min));
    for (HolderId holder : named.keySet()) {
      if (!applied.contains(holder)) {
        pending.add(holder);
      }
    }
  }

  /**
   * Whether no front door serves what was begun before: the rule that {@code docs/purge.md} proves.
   */
  boolean complete(long now) {
    List<Witness> counted = new ArrayList<>();
    for (Witness witness : witnesses.values()) {
      if (witness.counts(now, rules.countMs(fleet.timing()))) {
        counted.add(witness);
      }
    }
    if (counted.size() < rules.majority(fleet)) {
      return false;
    }
    committed = true;
    for (HolderId holder : pending) {
      int bare = fleet.keepers().size() - counted.size();
      for (Witness witness : counted) {
        bare += witness.waits.getOrDefault(holder, now) > now ? 1 : 0;
      }
      if (bare >= fleet.majority()) {
        return false;
      }
    }
    return true;
  }

  Result result() {
    TreeSet<Integer> ranOut = new TreeSet<>();
    for (HolderId holder : pending) {
      ranOut.add(holder.member());
    }
    return new Result(applied.size(), ranOut.stream().limit(Result.TOLD).toList());
  }
}
