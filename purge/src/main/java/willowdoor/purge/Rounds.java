package willowdoor.purge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import willowdoor.purge.Message.Claim;
import willowdoor.purge.Message.Purge;

/** The runs of one coordinator: those that are out, and those that wait for a place. */
final class Rounds {
  static final int MAX_OUT = 128;
  static final int MAX_OUT_OF_CUSTOMER = 4;
  static final int MAX_WAITING = 512;
  static final int MAX_WAITING_OF_CUSTOMER = 32;

  private final Fleet fleet;
  private final int self;
  private final long boot;
  private final Rules rules;
  private long runs;
  private final LinkedHashMap<Long, Round> out = new LinkedHashMap<>();
  private final List<Round> waiting = new ArrayList<>();

  Rounds(Fleet fleet, int self, long boot, Rules rules) {
    this.fleet = fleet;
    this.self = self;
    this.boot = boot;
    this.rules = rules;
  }

  Rounds(Rounds other) {
    this(other.fleet, other.self, other.boot, other.rules);
    runs = other.runs;
    other.out.forEach((run, round) -> out.put(run, new Round(round)));
    other.waiting.forEach(round -> waiting.add(new Round(round)));
  }

  boolean isEmpty() {
    return out.isEmpty() && waiting.isEmpty();
  }

  List<Round> out() {
    return List.copyOf(out.values());
  }

  /** Null where it is not out. */
  Round out(long run) {
    return out.get(run);
  }

  /** The one that serves an id, out or waiting, or null. */
  Round find(PurgeId id) {
    for (Round round : out.values()) {
      if (round.claims().containsKey(id)) {
        return round;
      }
    }
    for (Round round : waiting) {
      if (round.claims().containsKey(id)) {
        return round;
      }
    }
    return null;
  }

  /** Finds the purge a run that is not sent yet, or says why there is none. */
  Outcome place(Claim claim, Scope scope) {
    int same = 0;
    for (Round round : waiting) {
      if (round.join(claim, scope)) {
        return null;
      }
      same += round.purge().scope().customer().equals(scope.customer()) ? 1 : 0;
    }
    if (waiting.size() >= MAX_WAITING) {
      return new Outcome.Unavailable(claim.id(), Outcome.Why.BUSY);
    }
    if (same >= MAX_WAITING_OF_CUSTOMER) {
      return new Outcome.Rejected(claim.id(), Outcome.Why.TOO_MANY);
    }
    // 12 bits, 32 and 19: used once, unless one process makes half a million runs while the first
    // is known.
    long run = (long) self << 51 | boot << 19 | ++runs & 0x7ffff;
    waiting.add(new Round(fleet, rules, new Purge(run, self, scope), claim));
    return null;
  }

  /** Sends those for which there is a place. */
  List<Effect> start(long now) {
    List<Effect> effects = new ArrayList<>();
    if (waiting.isEmpty()) {
      return effects;
    }
    Map<String, Integer> outOf = new HashMap<>();
    for (Round round : out.values()) {
      outOf.merge(round.purge().scope().customer(), 1, Integer::sum);
    }
    Iterator<Round> next = waiting.iterator();
    while (next.hasNext() && out.size() < MAX_OUT) {
      Round round = next.next();
      String customer = round.purge().scope().customer();
      if (outOf.getOrDefault(customer, 0) < MAX_OUT_OF_CUSTOMER) {
        next.remove();
        outOf.merge(customer, 1, Integer::sum);
        out.put(round.purge().run(), round);
        effects.addAll(round.due(now));
      }
    }
    return effects;
  }

  void remove(Round round) {
    out.remove(round.purge().run());
    waiting.remove(round);
  }

  /** Takes an id out of its run, and the run away if it serves no other. */
  void drop(PurgeId id) {
    Round round = find(id);
    if (round != null) {
      round.claims().remove(id);
      if (round.claims().isEmpty()) {
        remove(round);
      }
    }
  }
}
