package elmsail.batch.api;

import elmsail.batch.BatchService.Reply;
import elmsail.batch.client.BatchContext;
import elmsail.batch.client.BatchJobClient;
import elmsail.batch.messages.JobBodyCodec;
import elmsail.batch.messages.JobDescription;
import elmsail.batch.messages.JobRecord;
import elmsail.batch.messages.QuotaKey;
import elmsail.batch.messages.WaitingTokens;
import elmsail.batch.run.JobRunner;
import elmsail.config.Route;
import elmsail.consensus.Register;
import elmsail.rpc.messages.Blob;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * One call that submits a job, in three rounds at the stores. {@code READ} counts the waiting
 * tokens of the tenant on the route and reserves nothing, so that jobs without a chance are in
 * nobody's way. {@code RESERVE} adds the tokens of the job to the count of a majority. {@code
 * COMMIT} counts once more: of all jobs that are being accepted, the one whose reservation came
 * last sees the others. It carries the body, so that a majority has it before any store is asked to
 * accept the record.
 *
 * <p>A job that does not fit because of other reservations waits for a while, see {@link
 * AdmissionCheck}: it keeps its reservation if it is first in the order, else it withdraws it and
 * begins again. Confined to the gateway's event loop.
 */
final class SubmitHandler {
  private static final long CHANGE_TIMEOUT_MS = 1_500;

  /** With less time than this before its deadline no round is started. */
  private static final long MIN_ROUND_MS = 150;

  private static final long RETRY_DELAY_MS = 60;

  /** How soon a contended job begins another round if it is first in the order. */
  private static final long CONTENDED_FIRST_RETRY_MS = 25;

  /** How soon it does if it is not. */
  private static final long CONTENDED_RETRY_MS = 60;

  /** How long a job waits for others that are being accepted. */
  private static final long MAX_CONTENTION_WAIT_MS = 600;

  private final BatchContext context;
  private final BatchJobClient jobClient;
  private final JobRunner runner;
  private final BatchReplies replies;
  private final Submission submission;
  private final String jobId;
  private final long tokens;
  private final Blob body;
  private final JobRecord proposedRecord;
  private final long startedAt;
  private final long deadline;
  private final CompletableFuture<Reply> replyFuture = new CompletableFuture<>();
  private WaitingTokens.Reservation reservation;

  /** Whether a store may have the reservation. */
  private boolean mayBeReserved;

  /** What was counted since the last wait, in all rounds together. */
  private WaitingTokens waitingTokens = new WaitingTokens();

  /** Of the last round; null while none was judged since the last wait. */
  private AdmissionVerdict verdict;

  /** Whether a store may have accepted the record, although this gateway does not know it. */
  private boolean mayBeCommitted;

  /** Whether the record was proposed in some round: then a committed one may be this call's. */
  private boolean commitProposed;

  private long roundStartedAt;
  private int rounds;

  SubmitHandler(
      BatchContext context,
      BatchJobClient jobClient,
      JobRunner runner,
      BatchReplies replies,
      Submission submission) {
    this.context = context;
    this.jobClient = jobClient;
    this.runner = runner;
    this.replies = replies;
    this.submission = submission;
    this.jobId = submission.jobId();
    this.tokens = submission.tokens();
    this.startedAt = context.timers().now();
    this.deadline = startedAt + submission.timeoutMs();
    this.reservation = newReservation();
    this.body = bodyBlob(submission);
    this.proposedRecord = JobRecord.accepted(describe(submission), context.localAddress());
  }

  private WaitingTokens.Reservation newReservation() {
    QuotaKey quotaKey = new QuotaKey(submission.route().name(), submission.tenant());
    return new WaitingTokens.Reservation(quotaKey, jobId, tokens, context.random().nextLong());
  }

  private static Blob bodyBlob(Submission submission) {
    Blob blob = new Blob();
    blob.bytes = JobBodyCodec.encode(submission.items());
    blob.name = JobBodyCodec.blobName(blob.bytes);
    return blob;
  }

  private JobDescription describe(Submission submission) {
    Route route = submission.route();
    List<JobRecord.Item> items =
        submission.items().stream()
            .map(item -> new JobRecord.Item(item.id(), item.tokens()))
            .toList();
    return new JobDescription(
        route.name(),
        route.host(),
        context.clusterState().config().version(),
        route.completionTargetMs(),
        route.itemTtlMs(),
        body.name,
        items,
        submission.tenant());
  }

  /** The size of the encoded body. */
  int bodyBytes() {
    return body.bytes.length;
  }

  /** Starts the first round; the future never fails. */
  CompletableFuture<Reply> start() {
    startRound(firstRound());
    return replyFuture;
  }

  /** Without a limit there is nothing to count before. */
  private AdmissionRound firstRound() {
    return limit() == 0 ? AdmissionRound.COMMIT : AdmissionRound.READ;
  }

  /** By the newest configuration; if the route is gone, its limit when the call arrived. */
  private long limit() {
    Route current = context.clusterState().config().routeByName(submission.route().name());
    return current == null ? submission.route().maxWaitingTokens() : current.maxWaitingTokens();
  }

  private AdmissionCheck admissionCheck() {
    return new AdmissionCheck(jobId, tokens, limit());
  }

  private void startRound(AdmissionRound round) {
    long remainingMs = deadline - context.timers().now();
    if (remainingMs < MIN_ROUND_MS) {
      reject(replies.unavailable());
      return;
    }
    roundStartedAt = context.timers().now();
    rounds++;
    boolean reserves = round != AdmissionRound.READ;
    mayBeReserved |= reserves;
    context
        .register()
        .change(
            JobRecord.registerKey(jobId),
            found -> propose(found, round),
            round == AdmissionRound.COMMIT ? List.of(body) : List.of(),
            (reserves ? reservation : reservation.withoutTokens()).encode(),
            Math.min(CHANGE_TIMEOUT_MS, remainingMs))
        .whenComplete(
            (result, failure) -> {
              if (failure != null) {
                onRoundFailed(failure);
              } else {
                onRoundCompleted(result.current(), round);
              }
            });
  }

  /** Called again after each conflict with another proposer. */
  private Register.ProposedValue propose(Register.ObservedState found, AdmissionRound round) {
    verdict = evaluate(found, round);
    boolean commit = round == AdmissionRound.COMMIT && verdict == AdmissionVerdict.FITS;
    commitProposed |= commit;
    return BatchJobClient.proposal(commit ? proposedRecord : null);
  }

  private AdmissionVerdict evaluate(Register.ObservedState found, AdmissionRound round) {
    if (found.value() != null) {
      return AdmissionVerdict.ALREADY_ACCEPTED;
    }
    // A store that returns no count has not kept the reservation either.
    if (found.sideEffects().size() < context.majority()) {
      return AdmissionVerdict.UNKNOWN;
    }
    waitingTokens.mergeAll(found.sideEffects());
    return admissionCheck().evaluate(waitingTokens, round);
  }

  private void onRoundCompleted(Register.VersionedValue committed, AdmissionRound round) {
    if (committed.value() != null) {
      onAccepted(jobClient.onCommitted(jobId, committed));
      return;
    }
    boolean mayWait = context.timers().now() - startedAt < MAX_CONTENTION_WAIT_MS;
    if (verdict == AdmissionVerdict.FITS) {
      startRound(round == AdmissionRound.READ ? AdmissionRound.RESERVE : AdmissionRound.COMMIT);
    } else if (verdict == AdmissionVerdict.CONTENDED_FIRST && mayWait) {
      scheduleRound(CONTENDED_FIRST_RETRY_MS, AdmissionRound.RESERVE);
    } else if (verdict == AdmissionVerdict.CONTENDED && mayWait) {
      withdrawReservation();
      scheduleRound(CONTENDED_RETRY_MS, AdmissionRound.READ);
    } else {
      boolean counted = verdict != AdmissionVerdict.UNKNOWN;
      reject(counted ? replies.overQuota() : replies.unavailable());
    }
  }

  private void onAccepted(JobRecord record) {
    if (!new JobAccess(context, submission.tenant()).permits(record)) {
      rejectAsConflict();
      return;
    }
    boolean committedHere =
        record.version() == 1
            && record.runner().equals(context.localAddress())
            && record.description().tenant().equals(submission.tenant())
            && record.description().bodyBlobName().equals(body.name)
            && commitProposed;
    if (committedHere) {
      jobClient.cacheItems(jobId, submission.items(), bodyBytes());
      runner.adopt(jobId, record, 0, roundStartedAt);
    }
    respond(BatchReplies.ACCEPTED);
  }

  private void onRoundFailed(Throwable failure) {
    mayBeCommitted |= BatchReplies.mayHaveTakenEffect(failure);
    if (deadline - context.timers().now() < 2 * MIN_ROUND_MS) {
      reject(replies.unavailable());
    } else {
      scheduleRound(RETRY_DELAY_MS, firstRound());
    }
  }

  /** Begins a round after a delay, and counts anew, as other jobs may be withdrawn by then. */
  private void scheduleRound(long delayMs, AdmissionRound round) {
    waitingTokens = new WaitingTokens();
    verdict = null;
    context.timers().schedule(context.jittered(delayMs), () -> startRound(round));
  }

  /**
   * Rejects the job, which promises that it never runs. That cannot be promised once a commit may
   * have been sent: one store may have accepted the record, and whoever finds it there completes
   * it.
   */
  private void reject(Reply reply) {
    if (mayBeCommitted) {
      respond(BatchReplies.OUTCOME_UNKNOWN);
      return;
    }
    withdrawReservation();
    respond(reply);
  }

  /** Another tenant's job has the id, so that no record of this one can be committed any more. */
  private void rejectAsConflict() {
    withdrawReservation();
    respond(BatchReplies.CONFLICT);
  }

  /** Withdraws the reservation; a later one has another attempt id. */
  private void withdrawReservation() {
    if (mayBeReserved) {
      new ReservationWithdrawal(context, reservation).start();
      mayBeReserved = false;
      reservation = newReservation();
    }
  }

  private void respond(Reply reply) {
    long elapsedMs = context.timers().now() - startedAt;
    SubmissionReport report =
        new SubmissionReport(reply, admissionCheck(), waitingTokens, verdict, rounds, elapsedMs);
    report.log(bodyBytes());
    report.count(context.metrics(), MAX_CONTENTION_WAIT_MS);
    replyFuture.complete(reply);
  }
}
