package willowdoor.purge;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import willowdoor.purge.Message.Accepted;
import willowdoor.purge.Message.Applied;
import willowdoor.purge.Message.Done;
import willowdoor.purge.Message.DoneAck;
import willowdoor.purge.Message.PurgeRequest;
import willowdoor.purge.Message.Reason;
import willowdoor.purge.Message.Refused;
import willowdoor.purge.Message.Result;
import willowdoor.purge.Message.State;
import willowdoor.purge.Message.StatusQuery;
import willowdoor.purge.Message.StatusReply;
import willowdoor.purge.WaitingCallers.Caller;

/**
 * Carries out the purges that are requested at one gateway. Times are in ms on this process's
 * monotonic clock, read after the current call or message was received and before anything is sent.
 */
final class Coordinator {
  private static final int MAX_STATUS_QUERIES = 256;
  private static final int MAX_DONE_NOTICES = 256;
  private static final int DONE_SENDS = 5;
  private static final long GIVE_UP_MS = 60_000;

  private record CompletedPurge(PurgeRequest request, String customer, Result result) {}

  private final Fleet fleet;
  private long lastQueryNumber;
  private final PurgeRuns runs;
  private final WaitingCallers callers;
  private final RecentPurges<CompletedPurge> completed;
  private final LinkedHashMap<PurgeId, Retransmission> statusQueries;

  /** By run number: the {@link Done} message that is being sent to the acceptors. */
  private final LinkedHashMap<Long, Retransmission> doneNotices;

  Coordinator(Fleet fleet, int self, long boot, Rules rules) {
    this(
        fleet, new PurgeRuns(fleet, self, boot, rules), new WaitingCallers(), new RecentPurges<>());
  }

  Coordinator(Coordinator other) {
    this(
        other.fleet,
        new PurgeRuns(other.runs),
        new WaitingCallers(other.callers),
        new RecentPurges<>(other.completed));
    lastQueryNumber = other.lastQueryNumber;
    other.statusQueries.forEach((id, query) -> statusQueries.put(id, new Retransmission(query)));
    other.doneNotices.forEach((run, notice) -> doneNotices.put(run, new Retransmission(notice)));
  }

  private Coordinator(
      Fleet fleet, PurgeRuns runs, WaitingCallers callers, RecentPurges<CompletedPurge> completed) {
    this.fleet = fleet;
    this.runs = runs;
    this.callers = callers;
    this.completed = completed;
    statusQueries = new LinkedHashMap<>();
    doneNotices = new LinkedHashMap<>();
  }

  /** Whether {@link #tick} must be called every few ms. */
  boolean busy() {
    return !runs.isEmpty() || !callers.isEmpty() || !doneNotices.isEmpty();
  }

  /**
   * Handles a customer's request for a purge.
   *
   * @param caller a number, used once, that the {@link Effect.Answer} to this caller carries
   * @param deadline when the caller stops waiting
   */
  List<Effect> purge(long now, long caller, PurgeId id, Scope scope, long deadline) {
    List<Effect> effects = new ArrayList<>();
    PurgeRequest request = new PurgeRequest(id, scope.prefixHash());
    CompletedPurge completedPurge = completed.get(id);
    PurgeRun run = runs.find(id);
    if (completedPurge != null) {
      effects.add(
          new Effect.Answer(
              caller,
              completedPurge.request.equals(request)
                  ? completeOutcome(completedPurge)
                  : new Outcome.Rejected(id, Outcome.FailureReason.KEY_USED)));
    } else if (run != null && !run.requests().containsValue(request)) {
      effects.add(
          new Effect.Answer(caller, new Outcome.Rejected(id, Outcome.FailureReason.KEY_USED)));
    } else if (callers.full()) {
      effects.add(
          new Effect.Answer(caller, new Outcome.Unavailable(id, Outcome.FailureReason.BUSY)));
    } else {
      statusQueries.remove(id);
      Outcome refused = run == null ? runs.enqueue(request, scope) : null;
      if (refused != null) {
        effects.add(new Effect.Answer(caller, refused));
      } else {
        callers.add(id, new Caller(caller, scope.customer(), false, deadline));
        effects.addAll(runs.startWaiting(now));
      }
    }
    return effects;
  }

  /**
   * Handles a customer's status query. If the purge is unfinished and this gateway does not know
   * it, this gateway starts a run for it.
   */
  List<Effect> queryStatus(long now, long caller, PurgeId id, String customer, long deadline) {
    List<Effect> effects = new ArrayList<>();
    CompletedPurge completedPurge = completed.get(id);
    PurgeRun run = runs.find(id);
    boolean ownedByOther =
        completedPurge != null && !completedPurge.customer.equals(customer)
            || run != null && !run.purge().scope().customer().equals(customer);
    if (ownedByOther) {
      effects.add(new Effect.Answer(caller, new Outcome.Unknown(id)));
    } else if (completedPurge != null) {
      effects.add(new Effect.Answer(caller, completeOutcome(completedPurge)));
    } else if (callers.full() || run == null && statusQueries.size() >= MAX_STATUS_QUERIES) {
      effects.add(
          new Effect.Answer(caller, new Outcome.Unavailable(id, Outcome.FailureReason.BUSY)));
    } else {
      callers.add(id, new Caller(caller, customer, true, deadline));
      if (run == null && !statusQueries.containsKey(id)) {
        StatusQuery statusQuery = new StatusQuery(++lastQueryNumber, id);
        Retransmission query =
            new Retransmission(
                statusQuery, fleet.acceptors(), now, fleet.timing(), Integer.MAX_VALUE);
        statusQueries.put(id, query);
        effects.addAll(query.sendIfDue(now, fleet.timing()));
      }
    }
    return effects;
  }

  /** Removes a caller that has disconnected; the purge that it requested continues. */
  void removeCaller(long caller) {
    callers.remove(caller);
    statusQueries.keySet().removeIf(id -> !callers.hasCallersFor(id));
  }

  List<Effect> onMessage(long now, int from, Message message) {
    List<Effect> effects = new ArrayList<>();
    if (message instanceof Accepted accepted && runs.active(accepted.run()) != null) {
      runs.active(accepted.run()).onMessage(now, from, accepted);
      finishIfComplete(now, runs.active(accepted.run()), effects);
    } else if (message instanceof Applied applied && runs.active(applied.run()) != null) {
      runs.active(applied.run()).onMessage(from, applied);
      finishIfComplete(now, runs.active(applied.run()), effects);
    } else if (message instanceof Refused refused && runs.active(refused.run()) != null) {
      onRefused(now, runs.active(refused.run()), refused, effects);
    } else if (message instanceof DoneAck noted && doneNotices.containsKey(noted.run())) {
      doneNotices.get(noted.run()).recipients.remove(from);
      doneNotices.values().removeIf(Retransmission::isFinished);
    } else if (message instanceof StatusReply reply) {
      onStatusReply(now, from, reply, effects);
    }
    return effects;
  }

  List<Effect> tick(long now) {
    List<Effect> effects = new ArrayList<>();
    for (PurgeRun run : runs.active()) {
      finishIfComplete(now, run, effects);
      if (runs.active(run.purge().run()) == null) {
        continue;
      }
      long age = now - run.startedAt();
      if (!run.committed() && age >= fleet.timing().boundMs() / 2) {
        Outcome.FailureReason reason =
            run.full() ? Outcome.FailureReason.BUSY : Outcome.FailureReason.NO_MAJORITY;
        List.copyOf(run.requests().keySet()).forEach(id -> fail(id, reason, effects));
      } else if (age >= GIVE_UP_MS) {
        runs.remove(run);
        run.requests().keySet().forEach(id -> answerCallers(id, new Outcome.Pending(id), effects));
      } else {
        effects.addAll(run.sendIfDue(now));
      }
    }
    callers.overdueIds(now).forEach(id -> onDeadline(now, id, effects));
    for (Retransmission query : statusQueries.values()) {
      effects.addAll(query.sendIfDue(now, fleet.timing()));
    }
    for (Retransmission notice : doneNotices.values()) {
      effects.addAll(notice.sendIfDue(now, fleet.timing()));
    }
    doneNotices.values().removeIf(Retransmission::isFinished);
    effects.addAll(runs.startWaiting(now));
    return effects;
  }

  private void finishIfComplete(long now, PurgeRun run, List<Effect> effects) {
    if (!run.complete(now)) {
      return;
    }
    runs.remove(run);
    for (PurgeRequest request : run.requests().values()) {
      recordCompleted(now, request, run.purge().scope(), run.result(), effects);
    }
    Message done = new Done(run.purge(), List.copyOf(run.requests().values()), run.result());
    Retransmission notice =
        new Retransmission(done, fleet.acceptors(), now, fleet.timing(), DONE_SENDS);
    effects.addAll(notice.sendIfDue(now, fleet.timing()));
    doneNotices.put(run.purge().run(), notice);
    if (doneNotices.size() > MAX_DONE_NOTICES) {
      doneNotices.remove(doneNotices.keySet().iterator().next());
    }
    effects.addAll(runs.startWaiting(now));
  }

  /**
   * Records that the purge is complete, as determined here or as reported by an acceptor, and
   * answers all callers that wait for it.
   */
  private void recordCompleted(
      long now, PurgeRequest request, Scope scope, Result result, List<Effect> effects) {
    CompletedPurge completedPurge = new CompletedPurge(request, scope.customer(), result);
    completed.put(now, request.id(), completedPurge);
    statusQueries.remove(request.id());
    for (Caller caller : callers.removeAll(request.id())) {
      boolean owns = caller.customer().equals(scope.customer());
      effects.add(
          new Effect.Answer(
              caller.number(),
              owns ? completeOutcome(completedPurge) : new Outcome.Unknown(request.id())));
    }
  }

  private static Outcome completeOutcome(CompletedPurge completedPurge) {
    return new Outcome.Complete(
        completedPurge.request.id(),
        completedPurge.result.confirmed(),
        completedPurge.result.ranOut());
  }

  private void answerCallers(PurgeId id, Outcome outcome, List<Effect> effects) {
    for (Caller caller : callers.removeAll(id)) {
      effects.add(new Effect.Answer(caller.number(), outcome));
    }
  }

  /**
   * Removes the request from its run and answers its callers, so that a further call with its key
   * begins a new run.
   */
  private void fail(PurgeId id, Outcome.FailureReason reason, List<Effect> effects) {
    runs.removeRequest(id);
    statusQueries.remove(id);
    answerCallers(id, new Outcome.Unavailable(id, reason), effects);
  }

  /**
   * Handles the callers of one purge whose deadline has passed. If one of them requested the purge
   * and the run is not committed, or if there is no run, the purge fails for all callers that wait
   * for the id. Otherwise only the callers whose deadline has passed are answered.
   */
  private void onDeadline(long now, PurgeId id, List<Effect> effects) {
    PurgeRun run = runs.find(id);
    boolean committed = run != null && run.committed();
    List<Caller> list = callers.removeAll(id);
    if (run == null
        || !committed
            && list.stream().anyMatch(caller -> !caller.statusOnly() && caller.deadline() <= now)) {
      list.forEach(caller -> callers.add(id, caller));
      fail(
          id,
          run != null && !run.started()
              ? Outcome.FailureReason.BUSY
              : Outcome.FailureReason.NO_MAJORITY,
          effects);
      return;
    }
    for (Caller caller : list) {
      if (caller.deadline() > now) {
        callers.add(id, caller);
      } else {
        effects.add(
            new Effect.Answer(
                caller.number(),
                committed
                    ? new Outcome.Pending(id)
                    : new Outcome.Unavailable(id, Outcome.FailureReason.NO_MAJORITY)));
      }
    }
  }

  private void onRefused(long now, PurgeRun run, Refused refused, List<Effect> effects) {
    if (refused.reason() == Reason.FULL) {
      run.markFull();
    } else if (refused.reason() == Reason.KEY_USED
        && !run.committed()
        && run.requests().containsKey(refused.id())) {
      runs.removeRequest(refused.id());
      answerCallers(
          refused.id(),
          new Outcome.Rejected(refused.id(), Outcome.FailureReason.KEY_USED),
          effects);
      effects.addAll(runs.startWaiting(now));
    }
  }

  private void onStatusReply(long now, int from, StatusReply reply, List<Effect> effects) {
    PurgeRequest request = new PurgeRequest(reply.id(), reply.prefixHash());
    PurgeRun run = runs.find(reply.id());
    Retransmission query = statusQueries.get(reply.id());
    boolean expected =
        query != null && query.message.equals(new StatusQuery(reply.number(), reply.id()));
    if (reply.state() == State.DONE
        && (expected || run != null && run.requests().containsValue(request))) {
      runs.removeRequest(reply.id());
      recordCompleted(now, request, reply.scope(), reply.result(), effects);
      effects.addAll(runs.startWaiting(now));
    } else if (reply.state() == State.OPEN && expected) {
      for (Caller caller : callers.removeAll(reply.id())) {
        if (caller.customer().equals(reply.scope().customer())) {
          callers.add(reply.id(), caller);
        } else {
          effects.add(new Effect.Answer(caller.number(), new Outcome.Unknown(reply.id())));
        }
      }
      Outcome refused =
          callers.hasCallersFor(reply.id()) ? runs.enqueue(request, reply.scope()) : null;
      statusQueries.remove(reply.id());
      if (refused != null) {
        answerCallers(reply.id(), refused, effects);
      }
      effects.addAll(runs.startWaiting(now));
    } else if (reply.state() == State.UNKNOWN && expected) {
      query.recipients.remove(from);
      if (fleet.acceptors().size() - query.recipients.size() >= fleet.majority()) {
        statusQueries.remove(reply.id());
        answerCallers(reply.id(), new Outcome.Unknown(reply.id()), effects);
      }
    }
  }
}
