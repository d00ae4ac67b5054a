package elmsail.batch.api;

import elmsail.batch.BatchService.Reply;
import elmsail.batch.client.BatchContext;
import elmsail.batch.client.BatchJobClient;
import elmsail.batch.messages.JobBodyCodec;
import elmsail.batch.messages.JobDescription;
import elmsail.batch.messages.JobRecord;
import elmsail.batch.messages.WaitingTokens;
import elmsail.batch.run.JobRunner;
import elmsail.config.Route;
import elmsail.consensus.Register;
import elmsail.rpc.messages.Blob;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Handles one call that submits a job, in three rounds at the stores:
 *
 * <ol>
 *   <li>{@code READ} counts the waiting tokens of the tenant on the route and reserves nothing. A
 *       job that exceeds the limit makes no reservation and does not block other jobs.
 *   <li>{@code RESERVE} adds the tokens of the job to the counts of a majority of the stores.
 *   <li>{@code COMMIT} counts again and proposes the record. Among jobs that are submitted
 *       concurrently, the job whose reservation was made last counts the reservations of all the
 *       others, so that the accepted jobs do not exceed the limit in total. This round carries the
 *       body, so that a majority has the body before any store receives the request to accept the
 *       record.
 * </ol>
 *
 * <p>A job that exceeds the limit only because of other reservations retries for a limited time. If
 * the job is first in the order of {@link AdmissionCheck}, it keeps its reservation. Otherwise it
 * withdraws the reservation and starts again with {@code READ}. Confined to the gateway's event
 * loop.
 */
final class SubmitHandler {
  private static final long CHANGE_TIMEOUT_MS = 1_500;

  /** No round is started with less time than this before the deadline of the call. */
  private static final long MIN_ROUND_MS = 150;

  private static final long RETRY_DELAY_MS = 60;

  /** Delay before the next round of a contended job that is first in the order. */
  private static final long CONTENDED_FIRST_RETRY_MS = 25;

  /** Delay before the next round of a contended job that is not first in the order. */
  private static final long CONTENDED_RETRY_MS = 60;

  /** How long a contended job retries while other jobs hold reservations. */
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
  private final SubmissionReservation reservation;

  /** The waiting tokens counted in all rounds since the last wait. */
  private WaitingTokens waitingTokens = new WaitingTokens();

  /** The verdict of the last round; null if no round since the last wait has reached a verdict. */
  private AdmissionVerdict verdict;

  /**
   * Whether a record may be committed by a round whose outcome is unknown, of this submission or of
   * another attempt. A round that refuses the job prevents that.
   */
  private boolean mayBeCommitted;

  /** Whether any round has proposed the record. If not, a committed record is from another call. */
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
    this.reservation = new SubmissionReservation(context, submission);
    this.body = bodyBlob(submission);
    this.proposedRecord = JobRecord.accepted(describe(submission), context.localAddress());
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

  /** Starts the first round. The future never fails. */
  CompletableFuture<Reply> start() {
    startRound(firstRound());
    return replyFuture;
  }

  /** Without a limit no tokens need to be counted before the commit. */
  private AdmissionRound firstRound() {
    return limit() == 0 ? AdmissionRound.COMMIT : AdmissionRound.READ;
  }

  /**
   * The limit of the newest configuration. If the route has been removed, the limit that was
   * configured when the call arrived.
   */
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
    context
        .register()
        .change(
            JobRecord.registerKey(jobId),
            found -> propose(found, round),
            round == AdmissionRound.COMMIT ? List.of(body) : List.of(),
            reservation.encodeFor(round),
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

  /** Selects the value to propose. Called again after each conflict with another proposer. */
  private Register.ProposedValue propose(Register.ObservedState found, AdmissionRound round) {
    verdict = evaluate(found, round);
    boolean commit = round == AdmissionRound.COMMIT && verdict == AdmissionVerdict.FITS;
    commitProposed |= commit;
    if (commit) {
      return BatchJobClient.proposal(proposedRecord);
    }
    // After a round of unknown outcome, a refusal is final only if it also voids that round.
    return mayBeCommitted && verdict.isRefusal()
        ? Register.ProposedValue.declinedAndFenced()
        : Register.ProposedValue.declined();
  }

  private AdmissionVerdict evaluate(Register.ObservedState found, AdmissionRound round) {
    if (found.value() != null) {
      return AdmissionVerdict.ALREADY_ACCEPTED;
    }
    // A store that returns no count has not stored the reservation either.
    if (found.sideEffects().size() < context.majority()) {
      return AdmissionVerdict.UNKNOWN;
    }
    waitingTokens.mergeAll(found.sideEffects());
    // Another attempt to submit the job, at this gateway or another, may have proposed its record.
    mayBeCommitted |= !reservation.hasReserved() && waitingTokens.isUnresolved(jobId);
    return admissionCheck().evaluate(waitingTokens, round);
  }

  private void onRoundCompleted(Register.VersionedValue committed, AdmissionRound round) {
    if (committed.value() != null) {
      onAccepted(jobClient.onCommitted(jobId, committed));
      return;
    }
    if (verdict.isRefusal()) {
      mayBeCommitted = false;
    }
    boolean mayWait = context.timers().now() - startedAt < MAX_CONTENTION_WAIT_MS;
    if (verdict == AdmissionVerdict.FITS) {
      startRound(round == AdmissionRound.READ ? AdmissionRound.RESERVE : AdmissionRound.COMMIT);
    } else if (verdict == AdmissionVerdict.CONTENDED_FIRST && mayWait) {
      scheduleRound(CONTENDED_FIRST_RETRY_MS, AdmissionRound.RESERVE);
    } else if (verdict == AdmissionVerdict.CONTENDED && mayWait) {
      reservation.withdraw();
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

  /**
   * Schedules a round and discards the counts, because other jobs may have withdrawn their
   * reservations by the time the round starts.
   */
  private void scheduleRound(long delayMs, AdmissionRound round) {
    waitingTokens = new WaitingTokens();
    verdict = null;
    context.timers().schedule(context.jittered(delayMs), () -> startRound(round));
  }

  /**
   * Rejects the job, which guarantees to the client that the job never runs. After a round of
   * unknown outcome there is no such guarantee, and the reply is that the outcome is unknown: one
   * store may have accepted the record, and any proposer that finds the record there completes its
   * commit.
   */
  private void reject(Reply reply) {
    if (mayBeCommitted) {
      respond(BatchReplies.OUTCOME_UNKNOWN);
      return;
    }
    reservation.withdraw();
    respond(reply);
  }

  /** Another tenant's job has the id, so the record of this job can no longer be committed. */
  private void rejectAsConflict() {
    reservation.withdraw();
    respond(BatchReplies.CONFLICT);
  }

  private void respond(Reply reply) {
    long elapsedMs = context.timers().now() - startedAt;
    SubmissionReport report =
        new SubmissionReport(reply, admissionCheck(), waitingTokens, verdict, rounds, elapsedMs);
    report.log(commitProposed, bodyBytes());
    report.count(context.metrics(), MAX_CONTENTION_WAIT_MS);
    replyFuture.complete(reply);
  }
}
