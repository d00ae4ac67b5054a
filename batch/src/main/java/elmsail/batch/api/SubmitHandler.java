package elmsail.batch.api;

import elmsail.batch.BatchItem;
import elmsail.batch.BatchService.Reply;
import elmsail.batch.client.BatchContext;
import elmsail.batch.client.BatchCounters;
import elmsail.batch.client.BatchJobClient;
import elmsail.batch.messages.BatchMessageTypes;
import elmsail.batch.messages.JobBodyCodec;
import elmsail.batch.messages.JobDescription;
import elmsail.batch.messages.JobRecord;
import elmsail.batch.messages.WaitingTokens;
import elmsail.batch.run.JobRunner;
import elmsail.config.Route;
import elmsail.consensus.Register;
import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.Voter;
import elmsail.runtime.Invariant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One try to submit a job, in three rounds. The first looks at what waits on the route, and adds
 * nothing, so that jobs which have no chance are in nobody's way. The second adds the job's tokens
 * at a majority of stores. The third looks once more, now that the add surely stands at a majority:
 * of all jobs that are being accepted, the one whose add stood last sees the others. It brings the
 * body, so that it is at a majority before anyone is asked to take the job.
 *
 * <p>Jobs that are being accepted count against each other, so that of several that would fit one
 * by one each may find the route full. Of these the ones that go first in {@link
 * WaitingTokens#totalAheadOf} leave their add and look again; the others withdraw, and begin anew
 * once the first are through.
 */
final class SubmitHandler {
  private static final Logger LOG = LoggerFactory.getLogger(SubmitHandler.class);
  private static final long CHANGE_TIMEOUT_MS = 1_500;
  private static final long MIN_ROUND_MS = 150;
  private static final long RETRY_DELAY_MS = 60;

  /** How soon a job that waits for others being accepted looks again, where it goes first. */
  private static final long CONTENDED_FIRST_RETRY_MS = 25;

  /** And where it goes behind them. */
  private static final long CONTENDED_RETRY_MS = 60;

  /** For how long a job waits for others being accepted. */
  private static final long MAX_CONTENTION_WAIT_MS = 600;

  /** Stores that did not answer a withdrawal are told again, so often and so much later. */
  private static final int MAX_WITHDRAWAL_ATTEMPTS = 4;

  private static final long WITHDRAWAL_RETRY_MS = 400;

  private enum Round {
    READ,
    RESERVE,
    COMMIT
  }

  private enum Verdict {
    ALREADY_ACCEPTED,
    FITS,
    /** Full only by jobs that are being accepted too and go behind this one. */
    CONTENDED_FIRST,
    /** Full only by jobs that are being accepted too. */
    CONTENDED,
    /** Full by accepted jobs. */
    OVER_QUOTA,
    UNKNOWN
  }

  private final BatchContext context;
  private final BatchJobClient jobClient;
  private final JobRunner runner;
  private final BatchReplies replies;
  private final String jobId;
  private final Route route;
  private final List<BatchItem> items;
  private final JobRecord proposedRecord;
  private final Blob bodyBlob = new Blob();
  private final long deadline;
  private final CompletableFuture<Reply> replyFuture = new CompletableFuture<>();
  private Verdict verdict;
  private WaitingTokens.Reservation reservation;

  /** Whether the add may stand at a store. */
  private boolean mayBeReserved;

  /** The count of both rounds: what either round brought. */
  private WaitingTokens waitingTokens = new WaitingTokens();

  private boolean mayBeCommitted;

  /**
   * Whether the function has asked for the job to be taken: then one that is found may be this
   * try's.
   */
  private boolean commitProposed;

  private final long startedAt;
  private long roundStartedAt;
  private int rounds;

  SubmitHandler(
      BatchContext context,
      BatchJobClient jobClient,
      JobRunner runner,
      BatchReplies replies,
      String jobId,
      Route route,
      List<BatchItem> items,
      long deadlineMs) {
    this.context = context;
    this.jobClient = jobClient;
    this.runner = runner;
    this.replies = replies;
    this.jobId = jobId;
    this.route = route;
    this.items = items;
    this.startedAt = context.timers().now();
    this.deadline = startedAt + deadlineMs;
    long tokens = 0;
    List<JobRecord.Item> recordItems = new ArrayList<>(items.size());
    for (BatchItem item : items) {
      recordItems.add(new JobRecord.Item(item.id(), item.tokens()));
      tokens += item.tokens();
    }
    reservation =
        new WaitingTokens.Reservation(route.name(), jobId, tokens, context.random().nextLong());
    bodyBlob.bytes = JobBodyCodec.encode(items);
    bodyBlob.name = JobBodyCodec.blobName(bodyBlob.bytes);
    proposedRecord =
        JobRecord.accepted(
            new JobDescription(
                route.name(),
                route.host(),
                context.clusterState().config().version(),
                route.completionTargetMs(),
                route.itemTtlMs(),
                bodyBlob.name,
                recordItems),
            context.localAddress());
  }

  int bodyBytes() {
    return bodyBlob.bytes.length;
  }

  CompletableFuture<Reply> start() {
    startRound(firstRound());
    return replyFuture;
  }

  private Round firstRound() {
    return limit() == 0 ? Round.COMMIT : Round.READ;
  }

  private void startRound(Round round) {
    long remainingMs = deadline - context.timers().now();
    if (remainingMs < MIN_ROUND_MS) {
      refuse(replies.unavailable());
      return;
    }
    roundStartedAt = context.timers().now();
    rounds++;
    mayBeReserved |= round != Round.READ;
    context
        .register()
        .change(
            JobRecord.registerKey(jobId),
            found -> propose(found, round),
            round == Round.COMMIT ? List.of(bodyBlob) : List.of(),
            (round == Round.READ ? reservation.withoutTokens() : reservation).encode(),
            Math.min(CHANGE_TIMEOUT_MS, remainingMs))
        .whenComplete(
            (result, failure) -> {
              if (failure != null) {
                onRoundFailed(failure);
              } else {
                onRoundCompleted(result, round);
              }
            });
  }

  /** May be called again after a lost race. */
  private Register.ProposedValue propose(Register.ObservedState found, Round round) {
    if (found.value() != null) {
      verdict = Verdict.ALREADY_ACCEPTED;
      return new Register.ProposedValue(null, List.of());
    }
    if (found.sideEffects().size() < context.majority()) {
      // A store that answers no count has no room for the add either.
      verdict = Verdict.UNKNOWN;
      return new Register.ProposedValue(null, List.of());
    }
    waitingTokens.mergeAll(found.sideEffects());
    verdict = judge(round);
    boolean commit = round == Round.COMMIT && verdict == Verdict.FITS;
    commitProposed |= commit;
    return new Register.ProposedValue(commit ? proposedRecord.encode() : null, List.of());
  }

  private Verdict judge(Round round) {
    long limit = limit();
    if (limit == 0 || waitingTokens.totalExcept(jobId) + reservation.tokens() <= limit) {
      return Verdict.FITS;
    }
    if (waitingTokens.acceptedExcept(jobId) + reservation.tokens() > limit) {
      return Verdict.OVER_QUOTA;
    }
    boolean goesFirst = waitingTokens.totalAheadOf(jobId) + reservation.tokens() <= limit;
    return goesFirst && round != Round.READ ? Verdict.CONTENDED_FIRST : Verdict.CONTENDED;
  }

  /** Of the newest configuration here; a route that is gone takes nothing more than it did. */
  private long limit() {
    Route current = context.clusterState().config().routeByName(route.name());
    return current == null ? route.maxWaitingTokens() : current.maxWaitingTokens();
  }

  private void onRoundCompleted(Register.CommittedState result, Round round) {
    if (result.current().value() != null) {
      JobRecord record = jobClient.onCommitted(jobId, result.current());
      boolean committedHere =
          record.version() == 1 && record.runner().equals(context.localAddress()) && commitProposed;
      if (committedHere) {
        jobClient.cacheItems(jobId, items, bodyBytes());
        runner.adopt(jobId, record, 0, roundStartedAt);
      }
      respond(BatchReplies.ACCEPTED);
      return;
    }
    boolean mayWait = context.timers().now() - startedAt < MAX_CONTENTION_WAIT_MS;
    if (verdict == Verdict.FITS) {
      startRound(round == Round.READ ? Round.RESERVE : Round.COMMIT);
    } else if (verdict == Verdict.CONTENDED_FIRST && mayWait) {
      scheduleRound(CONTENDED_FIRST_RETRY_MS, Round.RESERVE);
    } else if (verdict == Verdict.CONTENDED && mayWait) {
      withdraw();
      scheduleRound(CONTENDED_RETRY_MS, Round.READ);
    } else {
      refuse(verdict == Verdict.UNKNOWN ? replies.unavailable() : replies.overQuota());
    }
  }

  private void onRoundFailed(Throwable failure) {
    mayBeCommitted |= BatchReplies.mayHaveTakenEffect(failure);
    if (deadline - context.timers().now() < 2 * MIN_ROUND_MS) {
      refuse(replies.unavailable());
    } else {
      scheduleRound(RETRY_DELAY_MS, firstRound());
    }
  }

  /** What was seen is forgotten: others may have withdrawn since. */
  private void scheduleRound(long delayMs, Round round) {
    waitingTokens = new WaitingTokens();
    verdict = null;
    context.timers().schedule(context.jittered(delayMs), () -> startRound(round));
  }

  /**
   * Ends the try with a promise that nothing of it runs; but once an acceptance was sent, a store
   * may have taken it alone, and whoever comes upon that finishes it.
   */
  private void refuse(Reply reply) {
    if (mayBeCommitted) {
      respond(BatchReplies.OUTCOME_UNKNOWN);
      return;
    }
    withdraw();
    respond(reply);
  }

  /** Takes the add back; the next one is told apart from it. */
  private void withdraw() {
    if (mayBeReserved) {
      withdraw(reservation, context.stores(), MAX_WITHDRAWAL_ATTEMPTS);
      mayBeReserved = false;
      reservation =
          new WaitingTokens.Reservation(
              reservation.routeName(), jobId, reservation.tokens(), context.random().nextLong());
    }
  }

  private void withdraw(WaitingTokens.Reservation withdrawn, List<Voter> stores, int attemptsLeft) {
    List<Voter> unanswered = new ArrayList<>();
    int[] left = {stores.size()};
    context.callEach(
        stores,
        BatchMessageTypes.message(BatchMessageTypes.WITHDRAW, withdrawn.encode()),
        WITHDRAWAL_RETRY_MS,
        (store, response) -> {
          if (response == null) {
            unanswered.add(store);
          }
          if (--left[0] == 0 && !unanswered.isEmpty() && attemptsLeft > 1) {
            context
                .timers()
                .schedule(
                    WITHDRAWAL_RETRY_MS, () -> withdraw(withdrawn, unanswered, attemptsLeft - 1));
          }
        });
  }

  private void respond(Reply reply) {
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "submit {} {}: own={} waiting={} of these pending={} limit={} verdict={} rounds={} ms={}"
              + " bytes={}",
          jobId,
          reply.status(),
          reservation.tokens(),
          waitingTokens.totalExcept(jobId),
          waitingTokens.pendingExcept(jobId),
          limit(),
          verdict,
          rounds,
          context.timers().now() - startedAt,
          bodyBlob.bytes.length);
    }
    countReply(reply);
    replyFuture.complete(reply);
  }

  private void countReply(Reply reply) {
    BatchCounters counters = context.counters();
    if (reply.status() == BatchReplies.ACCEPTED.status()) {
      counters.submitAccepted.add(1);
    } else {
      counters.submitRejected.add(1);
    }
    if (verdict == Verdict.OVER_QUOTA
        || verdict == Verdict.CONTENDED_FIRST
        || verdict == Verdict.CONTENDED) {
      checkRefusal();
      boolean overQuota = waitingTokens.acceptedExcept(jobId) + reservation.tokens() > limit();
      (overQuota ? counters.submitOverQuota : counters.submitContended).add(1);
    }
  }

  private void checkRefusal() {
    boolean waited = context.timers().now() - startedAt >= MAX_CONTENTION_WAIT_MS;
    boolean fits = waitingTokens.totalAheadOf(jobId) + reservation.tokens() <= limit();
    context
        .invariants()
        .check(
            Invariant.FITTING_JOB_IS_NOT_REFUSED_AT_ONCE,
            waited || !fits,
            () ->
                jobId
                    + ": "
                    + reservation.tokens()
                    + " behind "
                    + waitingTokens.totalAheadOf(jobId)
                    + " of "
                    + limit());
  }
}
