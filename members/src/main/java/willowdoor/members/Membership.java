package willowdoor.members;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The group membership protocol of one member: SWIM with the Lifeguard extensions, gossip and
 * anti-entropy. A plain state machine: the caller passes the time, in milliseconds of a monotonic
 * clock, and the decoded datagrams whose source address belongs to the member that they name as
 * sender. Results are reported through {@link Effects} within the call. Not thread-safe.
 */
final class Membership implements ProtocolContext {

  /** Maximum number of members that are notified of a leave directly; gossip reaches the others. */
  private static final int MAX_LEAVE_NOTICES = 32;

  private final Timing timing;
  private final RandomGenerator random;
  private final Effects effects;
  private final Counts counts;
  private final LocalMember localMember;
  private final int selfIndex;
  private final View view;
  private final MessageSender sender;
  private final GossipQueue gossip;
  private final Suspicions suspicions;
  private final LocalHealth health;
  private final Connectivity connectivity;
  private final Prober prober;
  private final AntiEntropy antiEntropy;
  private long now;

  /**
   * Starts the join with the first tick, which is due at once.
   *
   * @param selfIndex this process's index in the roster
   * @param wallMs wall-clock time from which the first generation is derived; the protocol
   *     tolerates any value
   */
  Membership(
      Roster roster,
      int selfIndex,
      Timing timing,
      long wallMs,
      RandomGenerator random,
      Effects effects,
      Counts counts,
      long now) {
    this.selfIndex = selfIndex;
    this.timing = timing;
    this.random = random;
    this.effects = effects;
    this.counts = counts;
    this.now = now;
    localMember =
        new LocalMember(selfIndex, Generation.first(wallMs, random), timing.duplicateWindowMs());
    view = new View(roster);
    EncodedSizes sizes = new EncodedSizes(roster);
    gossip = new GossipQueue(view, sizes, timing.transmitLimit(roster.size()));
    sender = new MessageSender(roster, timing, localMember, view, gossip, sizes, effects);
    suspicions = new Suspicions(timing);
    health = new LocalHealth(timing.lifeguard() ? timing.maxHealthScore() : 0);
    connectivity =
        new Connectivity(roster, timing.noAnswerMs(), timing.minSuspicionMs(roster.size()), now);
    prober = new Prober(this, view, selfIndex, timing, health, connectivity, random);
    antiEntropy = new AntiEntropy(this, view, selfIndex, timing, sizes, random, now);
    publishOwnStatement();
  }

  /** When {@link #tick} is due; {@link Long#MAX_VALUE} if it need not be called. */
  long nextWake() {
    if (inactive()) {
      return Long.MAX_VALUE;
    }
    return Math.min(
        suspicions.nextExpiry(),
        Math.min(prober.nextWake(hasJoined()), antiEntropy.nextWake(hasJoined())));
  }

  void tick(long at) {
    advanceTo(at);
    if (inactive()) {
      return;
    }
    for (int member = suspicions.pollExpired(now);
        member >= 0;
        member = suspicions.pollExpired(now)) {
      count(Count.FOUND_FAILED);
      apply(view.get(member).withState(MemberState.FAILED));
      gossip.add(member);
    }
    prober.tick(hasJoined(), now);
    antiEntropy.tick(hasJoined(), now);
    updateConnectivity();
  }

  /** Handles a message that {@link Codec} has accepted. */
  void receive(Message message, long at) {
    advanceTo(at);
    Message.Header header = message.header();
    if (localMember.superseded()) {
      message.statements().stream()
          .filter(s -> s.member() == selfIndex)
          .forEach(this::handleOwnStatement);
      return;
    }
    Statement known = view.get(header.from());
    if (header.generation() < known.generation()) {
      count(Count.OLD_GENERATION);
      // The sender may be a new process whose clock stepped back. The statement known here makes it
      // choose a larger generation.
      boolean isRequest =
          message.body() instanceof Message.ExchangeRequest
              || message.body() instanceof Message.Ping;
      if (isRequest && antiEntropy.tryAcquireResponse(now)) {
        send(header.from(), new Message.Gossip(), List.of(known));
      }
      return;
    }
    boolean differs = connectivity.recordHeader(header, view.digest(), now);
    boolean isResponse = message.body() instanceof Message.ExchangeResponse;
    List<Statement> newer = isResponse ? antiEntropy.newerThan(message.statements()) : List.of();
    boolean exchanged = isResponse || message.body() instanceof Message.ExchangeUpdate;
    message.statements().forEach(s -> merge(s, exchanged));
    handleBody(message, newer);
    if (differs && hasJoined() && !inactive()) {
      boolean noEqualView = connectivity.noEqualViewMs(now) > timing.noEqualViewMs();
      antiEntropy.handleDifferingView(header.from(), !known.state().present(), noEqualView, now);
    }
    updateConnectivity();
  }

  private void handleBody(Message message, List<Statement> newer) {
    int from = message.header().from();
    Message.Body body = message.body();
    if (body instanceof Message.Ping ping) {
      send(from, new Message.Ack(ping.seq(), selfIndex));
    } else if (body instanceof Message.Ack ack) {
      prober.handleAck(from, ack, now);
    } else if (body instanceof Message.PingRequest request) {
      prober.handlePingRequest(from, request, now);
    } else if (body instanceof Message.Nack nack) {
      prober.handleNack(nack);
    } else if (body instanceof Message.ExchangeRequest exchange) {
      antiEntropy.handleRequest(from, exchange, connectivity.sameRoster(message.header()), now);
    } else if (body instanceof Message.ExchangeResponse response) {
      antiEntropy.handleResponse(from, response, newer, hasJoined(), now);
    }
  }

  /** Announces that this process leaves. It still responds to messages. */
  void leave(long at) {
    advanceTo(at);
    if (inactive()) {
      return;
    }
    localMember.state(MemberState.LEFT);
    publishOwnStatement();
    List<Integer> others = new ArrayList<>();
    for (int i = 0; i < view.size(); i++) {
      if (i != selfIndex && view.get(i).state().present()) {
        others.add(i);
      }
    }
    for (int i = 0; i < MAX_LEAVE_NOTICES && !others.isEmpty(); i++) {
      int to = others.remove(random.nextInt(others.size()));
      send(to, new Message.Gossip(), List.of(localMember.statement()));
    }
  }

  /** Replaces the tags that this process publishes. */
  void tags(Tags tags, long at) {
    advanceTo(at);
    localMember.tags(tags);
    publishOwnStatement();
  }

  /**
   * Sets the time. A late call means that this process was stalled, so silence of other members in
   * that time is no evidence of failure: all time-outs are extended by the delay.
   */
  private void advanceTo(long at) {
    long due = nextWake();
    now = Math.max(now, at);
    long late = due == Long.MAX_VALUE ? 0 : now - due;
    if (late > timing.stallMs() && timing.lifeguard()) {
      count(Count.HELD_UP);
      health.change(1 + late / timing.probeMs());
      suspicions.postpone(late);
      connectivity.postpone(late);
      antiEntropy.postpone(late);
      prober.handleStall(late, now);
    }
  }

  private void merge(Statement received, boolean exchanged) {
    if (received.member() == selfIndex) {
      handleOwnStatement(received);
      return;
    }
    Statement known = view.get(received.member());
    if (exchanged
        && received.state() == MemberState.FAILED
        && received.sameIncarnation(known)
        && known.state().present()) {
      // The report may come from the other side of a healed partition. The member is notified, so
      // that it can refute the failure before other members adopt the report.
      if (sender.addFailureReport(received) && antiEntropy.tryAcquireFailureNotice(now)) {
        send(received.member(), new Message.Gossip(), List.of(received));
      }
    } else if (received.supersedes(known)) {
      apply(received);
      if (!exchanged || hasJoined()) {
        gossip.add(received.member());
      }
    } else if (received.sameIncarnation(known) && received.state() == MemberState.SUSPECT) {
      addAccusers(known, received.accusers());
    }
  }

  private void addAccusers(Statement known, List<Integer> accusers) {
    boolean acceptsAccusers =
        known.state() == MemberState.SUSPECT && known.accusers().size() <= timing.confirmations();
    Statement updated = acceptsAccusers ? known.suspectedBy(accusers) : known;
    if (updated != known) {
      count(Count.CONFIRMED);
      view.put(updated);
      suspicions.updateAccusers(updated);
      gossip.add(updated.member());
    }
  }

  private void apply(Statement current) {
    Statement previous = view.put(current);
    sender.clearFailureReport(current.member());
    suspicions.end(current.member());
    if (current.state() == MemberState.SUSPECT) {
      count(Count.SUSPECTED);
      suspicions.begin(current, view.present(), now);
    }
    effects.changed(previous, current);
  }

  private void handleOwnStatement(Statement received) {
    boolean wasSuperseded = localMember.superseded();
    switch (localMember.handleStatement(received, now)) {
      case NOTHING -> {
        return;
      }
      case REFUTED -> {
        count(Count.REFUTED);
        health.change(1);
      }
      case RAISED, RESUMED -> count(Count.RAISED_GENERATION);
      case DUPLICATE -> {
        count(Count.RAISED_GENERATION);
        count(Count.TWIN);
        effects.duplicateNameFound(false);
      }
      case SUPERSEDED -> {
        count(Count.TWIN);
        count(Count.SUPERSEDED);
        effects.duplicateNameFound(true);
        return;
      }
    }
    if (wasSuperseded) {
      prober.restart(now);
    }
    publishOwnStatement();
  }

  /** Applies this process's own changed statement and queues it for gossip. */
  private void publishOwnStatement() {
    apply(localMember.statement());
    gossip.add(selfIndex);
  }

  @Override
  public void joinCompleted() {
    localMember.state(MemberState.ALIVE);
    connectivity.probeAnswered(now);
    prober.restart(now);
    publishOwnStatement();
  }

  @Override
  public boolean hasPendingGossip() {
    return gossip.size() > 0;
  }

  @Override
  public void accuse(int member) {
    count(Count.ACCUSED);
    merge(view.get(member).suspectedBy(List.of(selfIndex)), false);
  }

  @Override
  public void send(int to, Message.Body body) {
    sender.send(to, body);
  }

  @Override
  public void send(int to, Message.Body body, List<Statement> statements) {
    sender.send(to, body, statements);
  }

  @Override
  public void count(Count count) {
    counts.add(count);
  }

  private void updateConnectivity() {
    if (connectivity.update(view, hasJoined(), now)) {
      effects.isolationChanged(connectivity.isolated());
    }
  }

  private boolean inactive() {
    return localMember.superseded() || localMember.state() == MemberState.LEFT;
  }

  boolean hasJoined() {
    return localMember.state() != MemberState.JOINING;
  }

  Statement statement(int member) {
    return view.get(member);
  }

  int selfIndex() {
    return selfIndex;
  }

  long digest() {
    return view.digest();
  }

  int reachable() {
    return view.reachable();
  }

  int present() {
    return view.present();
  }

  int healthScore() {
    return health.score();
  }

  boolean superseded() {
    return localMember.superseded();
  }

  boolean isolated() {
    return connectivity.isolated() || localMember.superseded();
  }

  /** When {@link #isolated} last changed. */
  long isolationChangedAt() {
    return connectivity.lastChangeAt();
  }

  /** Members whose last received view digest differs, by index, with the time since when. */
  Map<Integer, Long> differingSince() {
    return connectivity.differingSince(view.digest());
  }

  Map<Integer, Connectivity.OtherRoster> otherRosters() {
    return connectivity.otherRosters();
  }
}
