package willowdoor.purge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import willowdoor.purge.Message.Purge;
import willowdoor.purge.Message.PurgeRequest;

/**
 * The runs of one coordinator: the active runs, which have been sent, and the runs that wait to be
 * sent.
 */
final class PurgeRuns {
  static final int MAX_ACTIVE = 128;
  static final int MAX_ACTIVE_PER_CUSTOMER = 4;
  static final int MAX_WAITING = 512;
  static final int MAX_WAITING_PER_CUSTOMER = 32;

  private final Fleet fleet;
  private final int self;
  private final long boot;
  private final Rules rules;
  private long lastRunNumber;
  private final LinkedHashMap<Long, PurgeRun> active = new LinkedHashMap<>();
  private final List<PurgeRun> waiting = new ArrayList<>();

  PurgeRuns(Fleet fleet, int self, long boot, Rules rules) {
    this.fleet = fleet;
    this.self = self;
    this.boot = boot;
    this.rules = rules;
  }

  PurgeRuns(PurgeRuns other) {
    this(other.fleet, other.self, other.boot, other.rules);
    lastRunNumber = other.lastRunNumber;
    other.active.forEach((number, run) -> active.put(number, new PurgeRun(run)));
    other.waiting.forEach(run -> waiting.add(new PurgeRun(run)));
  }

  boolean isEmpty() {
    return active.isEmpty() && waiting.isEmpty();
  }

  List<PurgeRun> active() {
    return List.copyOf(active.values());
  }

  /** Returns null if the run is not active. */
  PurgeRun active(long run) {
    return active.get(run);
  }

  /** The run that serves a purge id, active or waiting, or null. */
  PurgeRun find(PurgeId id) {
    for (PurgeRun run : active.values()) {
      if (run.requests().containsKey(id)) {
        return run;
      }
    }
    for (PurgeRun run : waiting) {
      if (run.requests().containsKey(id)) {
        return run;
      }
    }
    return null;
  }

  /**
   * Adds the request to a run that is not sent yet. Returns null, or the outcome if there is no
   * capacity.
   */
  Outcome enqueue(PurgeRequest request, Scope scope) {
    int waitingOfCustomer = 0;
    for (PurgeRun run : waiting) {
      if (run.join(request, scope)) {
        return null;
      }
      waitingOfCustomer += run.purge().scope().customer().equals(scope.customer()) ? 1 : 0;
    }
    if (waiting.size() >= MAX_WAITING) {
      return new Outcome.Unavailable(request.id(), Outcome.FailureReason.BUSY);
    }
    if (waitingOfCustomer >= MAX_WAITING_PER_CUSTOMER) {
      return new Outcome.Rejected(request.id(), Outcome.FailureReason.TOO_MANY);
    }
    // 12 bits of the member, 32 of the boot number and 19 of a counter. The number is unique unless
    // one process starts half a million runs while the first run is still known.
    long run = (long) self << 51 | boot << 19 | ++lastRunNumber & 0x7ffff;
    waiting.add(new PurgeRun(fleet, rules, new Purge(run, self, scope), request));
    return null;
  }

  /** Sends the waiting runs for which there is capacity. */
  List<Effect> startWaiting(long now) {
    List<Effect> effects = new ArrayList<>();
    if (waiting.isEmpty()) {
      return effects;
    }
    Map<String, Integer> activeByCustomer = new HashMap<>();
    for (PurgeRun run : active.values()) {
      activeByCustomer.merge(run.purge().scope().customer(), 1, Integer::sum);
    }
    Iterator<PurgeRun> next = waiting.iterator();
    while (next.hasNext() && active.size() < MAX_ACTIVE) {
      PurgeRun run = next.next();
      String customer = run.purge().scope().customer();
      if (activeByCustomer.getOrDefault(customer, 0) < MAX_ACTIVE_PER_CUSTOMER) {
        next.remove();
        activeByCustomer.merge(customer, 1, Integer::sum);
        active.put(run.purge().run(), run);
        effects.addAll(run.sendIfDue(now));
      }
    }
    return effects;
  }

  void remove(PurgeRun run) {
    active.remove(run.purge().run());
    waiting.remove(run);
  }

  /** Removes a purge id from its run, and removes the run if it serves no other id. */
  void removeRequest(PurgeId id) {
    PurgeRun run = find(id);
    if (run != null) {
      run.requests().remove(id);
      if (run.requests().isEmpty()) {
        remove(run);
      }
    }
  }
}
