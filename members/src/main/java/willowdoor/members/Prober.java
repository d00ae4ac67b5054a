package willowdoor.members;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Probes one member at a time, in an order shuffled anew for each round, lets others probe those
 * that do not answer, and probes on behalf of others. Absent ones are probed rarely, and nothing
 * follows from their silence.
 */
final class Prober {

  /** So many probes for others are out at most. */
  private static final int MOST_RELAYS = 64;

  /** A helper sends its nack after this share of the time in which it is of use. */
  private static final double NACK_AT = 0.7;

  /** A probe for another: whom to tell, and when there is no more to wait for. */
  private record Relay(int asker, long askerSeq, int subject, long nackAt) {}

  /** The own probe that is out. */
  private static final class Probe {
    final int target;
    final long firstSeq;
    long askAt;
    boolean asked;
    boolean answered;
    int helpers;
    int nacks;

    Probe(int target, long firstSeq) {
      this.target = target;
      this.firstSeq = firstSeq;
    }

    boolean isOf(int subject, long seq) {
      return !answered && subject == target && seq >= firstSeq;
    }
  }

  private final Core core;
  private final View view;
  private final int self;
  private final Timing timing;
  private final Health health;
  private final Contact contact;
  private final RandomGenerator random;
  private final int[] order;
  private int turn;
  private Probe probe;
  private long seq;
  private long nextProbe;
  private long nextAbsent;
  private long nextNews;
  private final Map<Long, Relay> relays = new LinkedHashMap<>();

  Prober(
      Core core,
      View view,
      int self,
      Timing timing,
      Health health,
      Contact contact,
      RandomGenerator random) {
    this.core = core;
    this.view = view;
    this.self = self;
    this.timing = timing;
    this.health = health;
    this.contact = contact;
    this.random = random;
    order = new int[view.size() - 1];
    for (int i = 0; i < order.length; i++) {
      order[i] = i < self ? i : i + 1;
    }
    turn = order.length;
  }

  /** Begins anew at a moment within the next interval, so that members do not move in step. */
  void restart(long now) {
    probe = null;
    nextProbe = now + random.nextLong(timing.probe());
    nextAbsent = now + random.nextLong(timing.absent());
    nextNews = nextProbe;
  }

  long next(boolean joined) {
    long next = joined ? Math.min(nextProbe, Math.min(nextAbsent, nextNews)) : Long.MAX_VALUE;
    if (joined && probe != null && !probe.answered && !probe.asked) {
      next = Math.min(next, probe.askAt);
    }
    for (Relay relay : relays.values()) {
      next = Math.min(next, relay.nackAt());
    }
    return next;
  }

  void tick(boolean joined, long now) {
    giveUpRelays(now);
    if (!joined) {
      return;
    }
    if (probe != null && !probe.answered && !probe.asked && now >= probe.askAt) {
      askOthers(now);
    }
    if (now >= nextProbe) {
      if (probe != null && !probe.answered) {
        failed();
      }
      int target = nextTarget();
      probe = target < 0 ? null : new Probe(target, seq + 1);
      nextProbe = now + health.scaled(timing.probe());
      ping(now);
    }
    if (now >= nextNews) {
      nextNews = now + timing.probe();
      tellNews();
    }
    if (now >= nextAbsent) {
      nextAbsent = now + timing.absent();
      probeAbsent();
    }
  }

  /**
   * This process was held up: its probe begins anew, and those it was asked for are of no use any
   * more.
   */
  void heldUp(long ms, long now) {
    relays.clear();
    nextAbsent += ms;
    nextNews += ms;
    nextProbe = now + health.scaled(timing.probe());
    if (probe != null && !probe.answered) {
      ping(now);
    }
  }

  private void ping(long now) {
    if (probe != null) {
      probe.asked = false;
      probe.helpers = 0;
      probe.nacks = 0;
      probe.askAt = now + health.scaled(timing.ackWithin());
      core.count(Count.PROBES);
      core.send(probe.target, new Message.Ping(++seq));
    }
  }

  private void askOthers(long now) {
    probe.asked = true;
    List<Integer> helpers = new ArrayList<>();
    for (int i = 0; i < view.size(); i++) {
      if (i != self && i != probe.target && view.get(i).state() == MemberState.ALIVE) {
        helpers.add(i);
      }
    }
    int wait = (int) Math.min(Message.PingRequest.MOST_WAIT_MS, Math.max(1, nextProbe - now));
    while (probe.helpers < timing.helpers() && !helpers.isEmpty()) {
      int chosen = random.nextInt(helpers.size());
      int helper = helpers.get(chosen);
      helpers.set(chosen, helpers.get(helpers.size() - 1));
      helpers.remove(helpers.size() - 1);
      probe.helpers++;
      core.count(Count.ASKED_OTHERS);
      core.send(helper, new Message.PingRequest(seq, probe.target, wait));
    }
  }

  private void failed() {
    if (!view.get(probe.target).state().present()) {
      return;
    }
    core.count(Count.FAILED_PROBES);
    health.change(probe.helpers > 0 ? probe.helpers - probe.nacks : 1);
    core.accuse(probe.target);
  }

  /** Where the own probes come more slowly than usual, news does not wait for them. */
  private void tellNews() {
    if (health.score() > 0 && core.hasNews() && order.length > 0) {
      int to = order[random.nextInt(order.length)];
      if (view.get(to).state().present()) {
        core.send(to, new Message.News());
      }
    }
  }

  /** The next present member of the round; -1 where there is none. */
  private int nextTarget() {
    for (int i = 0; i < order.length; i++) {
      if (turn >= order.length) {
        shuffle();
        turn = 0;
      }
      int target = order[turn++];
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
        core.count(Count.ABSENT_PROBES);
        core.send(i, new Message.Ping(++seq));
      }
    }
  }

  private void giveUpRelays(long now) {
    for (Iterator<Relay> i = relays.values().iterator(); i.hasNext(); ) {
      Relay relay = i.next();
      if (now >= relay.nackAt()) {
        i.remove();
        core.count(Count.NACKS);
        core.send(relay.asker(), new Message.Nack(relay.askerSeq(), relay.subject()));
      }
    }
  }

  void asked(int asker, Message.PingRequest request, long now) {
    if (request.subject() == self) {
      core.send(asker, new Message.Ack(request.seq(), self));
    } else if (relays.size() >= MOST_RELAYS) {
      core.count(Count.RELAY_FULL);
    } else {
      long nackAt = now + (long) Math.max(1, request.waitMs() * NACK_AT);
      relays.put(++seq, new Relay(asker, request.seq(), request.subject(), nackAt));
      core.send(request.subject(), new Message.Ping(seq));
    }
  }

  void acked(int from, Message.Ack ack, long now) {
    Relay relay = relays.get(ack.seq());
    if (relay != null && relay.subject() == ack.subject() && from == ack.subject()) {
      relays.remove(ack.seq());
      core.count(Count.RELAYED);
      core.send(relay.asker(), new Message.Ack(relay.askerSeq(), relay.subject()));
    } else if (ack.seq() <= seq) {
      contact.answered(now);
      if (probe != null && probe.isOf(ack.subject(), ack.seq())) {
        probe.answered = true;
        core.count(Count.ACKED);
        health.change(-1);
      }
    }
  }

  void nacked(Message.Nack nack) {
    if (probe != null && probe.isOf(nack.subject(), nack.seq())) {
      probe.nacks++;
    }
  }
}
