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
import willowdoor.purge.Message.HolderId;
import willowdoor.purge.Message.OutstandingLease;
import willowdoor.purge.Message.Purge;
import willowdoor.purge.Message.PurgeRequest;
import willowdoor.purge.Message.Result;

/**
 * One run of a purge at its coordinator: which members have confirmed the run, and whether the
 * purge is complete.
 */
final class PurgeRun {
  private static final int MAX_REQUESTS = 32;
  private static final int MAX_GAP_FACTOR = 8;

  /**
   * What one acceptor has reported for one acceptance of the run. {@code leaseEnds}: by holder, the
   * time on the coordinator's clock until which its lease may run.
   */
  private static final class AcceptorState {
    final long acceptance;
    int number;

    /**
     * By page: the send time of the latest transmission that the acceptor has answered, -1 before
     * the first answer.
     */
    final long[] sentAt;

    final TreeMap<HolderId, Long> leaseEnds;

    AcceptorState(long acceptance, int pages) {
      this.acceptance = acceptance;
      sentAt = new long[pages];
      Arrays.fill(sentAt, -1);
      leaseEnds = new TreeMap<>();
    }

    AcceptorState(AcceptorState other) {
      acceptance = other.acceptance;
      number = other.number;
      sentAt = other.sentAt.clone();
      leaseEnds = new TreeMap<>(other.leaseEnds);
    }

    boolean isValid(long now, long validMs) {
      for (long sent : sentAt) {
        if (sent < 0 || now >= sent + validMs) {
          return false;
        }
      }
      return true;
    }
  }

  private final Fleet fleet;
  private final Rules rules;
  private Purge purge;
  private final LinkedHashMap<PurgeId, PurgeRequest> requests;

  /** The time of each transmission; empty while the run waits to be started. */
  private final List<Long> sentAt;

  private long resendAt;
  private long gapMs;
  private boolean committed;
  private boolean full;
  private final TreeMap<Integer, AcceptorState> acceptorStates;
  private final TreeSet<HolderId> applied;

  /** Holders that an acceptor has listed and that have not confirmed the run. */
  private final TreeSet<HolderId> unconfirmed;

  PurgeRun(Fleet fleet, Rules rules, Purge purge, PurgeRequest request) {
    this.fleet = fleet;
    this.rules = rules;
    this.purge = purge;
    requests = new LinkedHashMap<>();
    requests.put(request.id(), request);
    sentAt = new ArrayList<>();
    gapMs = fleet.timing().resendMs();
    acceptorStates = new TreeMap<>();
    applied = new TreeSet<>();
    unconfirmed = new TreeSet<>();
  }

  PurgeRun(PurgeRun other) {
    fleet = other.fleet;
    rules = other.rules;
    purge = other.purge;
    requests = new LinkedHashMap<>(other.requests);
    sentAt = new ArrayList<>(other.sentAt);
    resendAt = other.resendAt;
    gapMs = other.gapMs;
    committed = other.committed;
    full = other.full;
    acceptorStates = new TreeMap<>();
    other.acceptorStates.forEach(
        (acceptor, state) -> acceptorStates.put(acceptor, new AcceptorState(state)));
    applied = new TreeSet<>(other.applied);
    unconfirmed = new TreeSet<>(other.unconfirmed);
  }

  Purge purge() {
    return purge;
  }

  Map<PurgeId, PurgeRequest> requests() {
    return requests;
  }

  boolean started() {
    return !sentAt.isEmpty();
  }

  /** Whether a majority of acceptors has held the run at the same time. */
  boolean committed() {
    return committed;
  }

  /** Whether an acceptor has refused the run because it holds too many runs. */
  boolean full() {
    return full;
  }

  void markFull() {
    full = true;
  }

  long startedAt() {
    return sentAt.get(0);
  }

  /**
   * Adds a request to this run if the run is not sent yet and one of the two scopes covers the
   * other.
   */
  boolean join(PurgeRequest request, Scope scope) {
    boolean wider = scope.covers(purge.scope());
    if (started() || requests.size() >= MAX_REQUESTS || !wider && !purge.scope().covers(scope)) {
      return false;
    }
    if (wider) {
      purge = new Purge(purge.run(), purge.coordinator(), scope);
    }
    requests.put(request.id(), request);
    return true;
  }

  /**
   * Sends the run to all members first; later, when it is due, to the acceptors and to the members
   * with unconfirmed holders.
   */
  List<Effect> sendIfDue(long now) {
    List<Effect> effects = new ArrayList<>();
    if (now < resendAt) {
      return effects;
    }
    boolean first = !started();
    Accept accept = new Accept(purge, sentAt.size(), List.copyOf(requests.values()));
    sentAt.add(now);
    resendAt = now + gapMs;
    gapMs = Math.min(2 * gapMs, MAX_GAP_FACTOR * fleet.timing().resendMs());
    for (int acceptor : fleet.acceptors()) {
      effects.add(new Effect.Send(acceptor, accept));
    }
    TreeSet<Integer> members = new TreeSet<>(first ? fleet.members() : List.of());
    for (HolderId holder : unconfirmed) {
      members.add(holder.member());
    }
    for (int member : members) {
      effects.add(new Effect.Send(member, new Apply(purge)));
    }
    return effects;
  }

  void onMessage(int from, Applied message) {
    HolderId holder = new HolderId(from, message.boot());
    if (applied.size() < 4 * fleet.members().size() && fleet.members().contains(from)) {
      applied.add(holder);
      unconfirmed.remove(holder);
    }
  }

  void onMessage(long now, int from, Accepted message) {
    int page = message.page();
    if (message.number() < 0
        || message.number() >= sentAt.size()
        || page < 0
        || page >= fleet.pages()
        || !fleet.acceptors().contains(from)) {
      return;
    }
    AcceptorState state = acceptorStates.get(from);
    if (state == null
        || state.acceptance != message.acceptance() && message.number() >= state.number) {
      state = new AcceptorState(message.acceptance(), fleet.pages());
      acceptorStates.put(from, state);
    } else if (state.acceptance != message.acceptance()) {
      return;
    }
    state.number = Math.max(state.number, message.number());
    // A holder that one reply of an acceptance does not list any more stays settled, in whatever
    // order the replies arrive.
    boolean first = state.sentAt[page] < 0;
    state.sentAt[page] = Math.max(state.sentAt[page], sentAt.get(message.number()));
    TreeMap<HolderId, Long> named = new TreeMap<>();
    for (OutstandingLease lease : message.outstanding()) {
      named.put(lease.holder(), now + lease.remainingMs() + fleet.timing().roundMs());
    }
    if (!first) {
      named.keySet().retainAll(state.leaseEnds.keySet());
      state
          .leaseEnds
          .keySet()
          .removeIf(
              holder ->
                  holder.member() / Fleet.MEMBERS_PER_PAGE == page && !named.containsKey(holder));
    }
    named.forEach(
        (holder, wait) -> acceptorStates.get(from).leaseEnds.merge(holder, wait, Math::min));
    for (HolderId holder : named.keySet()) {
      if (!applied.contains(holder)) {
        unconfirmed.add(holder);
      }
    }
  }

  /**
   * Whether no gateway serves a covered answer that was requested before the purge. {@code
   * docs/purge.md} proves this rule.
   */
  boolean complete(long now) {
    List<AcceptorState> counted = new ArrayList<>();
    for (AcceptorState state : acceptorStates.values()) {
      if (state.isValid(now, rules.acceptanceValidMs(fleet.timing()))) {
        counted.add(state);
      }
    }
    if (counted.size() < rules.majority(fleet)) {
      return false;
    }
    committed = true;
    for (HolderId holder : unconfirmed) {
      int uncovered = fleet.acceptors().size() - counted.size();
      for (AcceptorState state : counted) {
        uncovered += state.leaseEnds.getOrDefault(holder, now) > now ? 1 : 0;
      }
      if (uncovered >= fleet.majority()) {
        return false;
      }
    }
    return true;
  }

  Result result() {
    TreeSet<Integer> ranOut = new TreeSet<>();
    for (HolderId holder : unconfirmed) {
      ranOut.add(holder.member());
    }
    return new Result(applied.size(), ranOut.stream().limit(Result.MAX_REPORTED).toList());
  }
}
