package willowdoor.members;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Failure detection: probes one member at a time, in an order that is shuffled for each round,
 * requests indirect probes of a member that does not ack, and probes on behalf of others. Absent
 * members are probed rarely, and a missing ack of theirs has no effect.
 */
final class Prober {

  /** Maximum number of concurrent probes on behalf of others. */
  private static final int MAX_RELAYED_PROBES = 64;

  /** A helper sends its nack after this fraction of the time for which the requester waits. */
  private static final double NACK_FRACTION = 0.7;

  /** A probe on behalf of another member: the requester, and when to send the nack. */
  private record RelayedProbe(int requester, long requesterSeq, int subject, long nackAt) {}

  /** The current probe of this process. */
  private static final class Probe {
    final int target;
    final long firstSeq;
    long pingRequestsAt;
    boolean pingRequestsSent;
    boolean answered;
    int helpers;
    int nacks;

    Probe(int target, long firstSeq) {
      this.target = target;
      this.firstSeq = firstSeq;
    }

    boolean matches(int subject, long seq) {
      return !answered && subject == target && seq >= firstSeq;
    }
  }

  private final ProtocolContext context;
  private final View view;
  private final int self;
  private final Timing timing;
  private final LocalHealth health;
  private final Connectivity connectivity;
  private final RandomGenerator random;
  private final int[] order;
  private int position;
  private Probe probe;
  private long seq;
  private long nextProbe;
  private long nextAbsentProbe;
  private long nextGossip;
  private final Map<Long, RelayedProbe> relayedProbes = new LinkedHashMap<>();

  Prober(
      ProtocolContext context,
      View view,
      int self,
      Timing timing,
      LocalHealth health,
      Connectivity connectivity,
      RandomGenerator random) {
    this.context = context;
    this.view = view;
    this.self = self;
    this.timing = timing;
    this.health = health;
    this.connectivity = connectivity;
    this.random = random;
    order = new int[view.size() - 1];
    for (int i = 0; i < order.length; i++) {
      order[i] = i < self ? i : i + 1;
    }
    position = order.length;
  }

  /**
   * Restarts at a random time within the next interval, so that members do not probe in lockstep.
   */
  void restart(long now) {
    probe = null;
    nextProbe = now + random.nextLong(timing.probeMs());
    nextAbsentProbe = now + random.nextLong(timing.absentProbeMs());
    nextGossip = nextProbe;
  }

  long nextWake(boolean joined) {
    long next =
        joined ? Math.min(nextProbe, Math.min(nextAbsentProbe, nextGossip)) : Long.MAX_VALUE;
    if (joined && probe != null && !probe.answered && !probe.pingRequestsSent) {
      next = Math.min(next, probe.pingRequestsAt);
    }
    for (RelayedProbe relay : relayedProbes.values()) {
      next = Math.min(next, relay.nackAt());
    }
    return next;
  }

  void tick(boolean joined, long now) {
    expireRelayedProbes(now);
    if (!joined) {
      return;
    }
    if (probe != null
        && !probe.answered
        && !probe.pingRequestsSent
        && now >= probe.pingRequestsAt) {
      sendPingRequests(now);
    }
    if (now >= nextProbe) {
      if (probe != null && !probe.answered) {
        handleFailedProbe();
      }
      int target = nextTarget();
      probe = target < 0 ? null : new Probe(target, seq + 1);
      nextProbe = now + health.scaled(timing.probeMs());
      ping(now);
    }
    if (now >= nextGossip) {
      nextGossip = now + timing.probeMs();
      sendGossip();
    }
    if (now >= nextAbsentProbe) {
      nextAbsentProbe = now + timing.absentProbeMs();
      probeAbsent();
    }
  }

  /**
   * Handles a stall of this process: restarts the current probe and drops the probes on behalf of
   * others, whose requesters no longer wait.
   */
  void handleStall(long ms, long now) {
    relayedProbes.clear();
    nextAbsentProbe += ms;
    nextGossip += ms;
    nextProbe = now + health.scaled(timing.probeMs());
    if (probe != null && !probe.answered) {
      ping(now);
    }
  }

  private void ping(long now) {
    if (probe != null) {
      probe.pingRequestsSent = false;
      probe.helpers = 0;
      probe.nacks = 0;
      probe.pingRequestsAt = now + health.scaled(timing.ackTimeoutMs());
      context.count(Count.PROBES);
      context.send(probe.target, new Message.Ping(++seq));
    }
  }

  private void sendPingRequests(long now) {
    probe.pingRequestsSent = true;
    List<Integer> helpers = new ArrayList<>();
    for (int i = 0; i < view.size(); i++) {
      if (i != self && i != probe.target && view.get(i).state() == MemberState.ALIVE) {
        helpers.add(i);
      }
    }
    int wait = (int) Math.min(Message.PingRequest.MAX_WAIT_MS, Math.max(1, nextProbe - now));
    while (probe.helpers < timing.helpers() && !helpers.isEmpty()) {
      int chosen = random.nextInt(helpers.size());
      int helper = helpers.get(chosen);
      helpers.set(chosen, helpers.get(helpers.size() - 1));
      helpers.remove(helpers.size() - 1);
      probe.helpers++;
      context.count(Count.ASKED_OTHERS);
      context.send(helper, new Message.PingRequest(seq, probe.target, wait));
    }
  }

  private void handleFailedProbe() {
    if (!view.get(probe.target).state().present()) {
      return;
    }
    context.count(Count.FAILED_PROBES);
    health.change(probe.helpers > 0 ? probe.helpers - probe.nacks : 1);
    context.accuse(probe.target);
  }

  /** Sends gossip without a probe while a poor health score slows down the own probes. */
  private void sendGossip() {
    if (health.score() > 0 && context.hasPendingGossip() && order.length > 0) {
      int to = order[random.nextInt(order.length)];
      if (view.get(to).state().present()) {
        context.send(to, new Message.Gossip());
      }
    }
  }

  /** The next present member of the round; -1 if there is none. */
  private int nextTarget() {
    for (int i = 0; i < order.length; i++) {
      if (position >= order.length) {
        shuffle();
        position = 0;
      }
      int target = order[position++];
      if (view.get(target).state().present()) {
        return target;
      }
    }
    return -1;
  }

  private void shuffle() {
    for (int i = order.length - 1; i > 0; i--) {
      int j = random.nextInt(i + 1);
      int moved = order[i];
      order[i] = order[j];
      order[j] = moved;
    }
  }

  private void probeAbsent() {
    int absent = view.size() - view.present();
    if (absent == 0) {
      return;
    }
    int chosen = random.nextInt(absent);
    for (int i = 0; i < view.size(); i++) {
      if (!view.get(i).state().present() && chosen-- == 0 && i != self) {
        context.count(Count.ABSENT_PROBES);
        context.send(i, new Message.Ping(++seq));
      }
    }
  }

  private void expireRelayedProbes(long now) {
    for (Iterator<RelayedProbe> i = relayedProbes.values().iterator(); i.hasNext(); ) {
      RelayedProbe relay = i.next();
      if (now >= relay.nackAt()) {
        i.remove();
        context.count(Count.NACKS);
        context.send(relay.requester(), new Message.Nack(relay.requesterSeq(), relay.subject()));
      }
    }
  }

  void handlePingRequest(int requester, Message.PingRequest request, long now) {
    if (request.subject() == self) {
      context.send(requester, new Message.Ack(request.seq(), self));
    } else if (relayedProbes.size() >= MAX_RELAYED_PROBES) {
      context.count(Count.RELAY_FULL);
    } else {
      long nackAt = now + (long) Math.max(1, request.waitMs() * NACK_FRACTION);
      relayedProbes.put(
          ++seq, new RelayedProbe(requester, request.seq(), request.subject(), nackAt));
      context.send(request.subject(), new Message.Ping(seq));
    }
  }

  void handleAck(int from, Message.Ack ack, long now) {
    RelayedProbe relay = relayedProbes.get(ack.seq());
    if (relay != null && relay.subject() == ack.subject() && from == ack.subject()) {
      relayedProbes.remove(ack.seq());
      context.count(Count.RELAYED);
      context.send(relay.requester(), new Message.Ack(relay.requesterSeq(), relay.subject()));
    } else if (ack.seq() <= seq) {
      connectivity.probeAnswered(now);
      if (probe != null && probe.matches(ack.subject(), ack.seq())) {
        probe.answered = true;
        context.count(Count.ACKED);
        health.change(-1);
      }
    }
  }

  void handleNack(Message.Nack nack) {
    if (probe != null && probe.matches(nack.subject(), nack.seq())) {
      probe.nacks++;
    }
  }
}
