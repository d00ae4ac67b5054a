package elmsail.batch.api;

import elmsail.batch.BatchService.Reply;
import elmsail.batch.client.BatchContext;
import elmsail.batch.client.BatchJobClient;
import elmsail.batch.messages.BatchMessageTypes;
import elmsail.batch.messages.ByteWriter;
import elmsail.batch.messages.JobRecord;
import elmsail.rpc.messages.OpaqueMessage;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Cancels jobs: commits the cancellation and notifies the runner. If the notification is lost, the
 * responses to the runner's heartbeats report the cancellation. Confined to the gateway's event
 * loop.
 */
final class CancelHandler {
  private static final long CHANGE_TIMEOUT_MS = 1_500;
  private static final long NOTIFY_TIMEOUT_MS = 1_500;
  private static final int ATTEMPTS = 2;

  private final BatchContext context;
  private final BatchJobClient jobClient;
  private final BatchReplies replies;
  private final Consumer<String> onCancelled;

  /**
   * @param onCancelled called with the id of each job whose cancellation is committed, before the
   *     reply is returned
   */
  CancelHandler(
      BatchContext context,
      BatchJobClient jobClient,
      BatchReplies replies,
      Consumer<String> onCancelled) {
    this.context = context;
    this.jobClient = jobClient;
    this.replies = replies;
    this.onCancelled = onCancelled;
  }

  /** Cancels the job if the caller may access it. The future never fails. */
  CompletableFuture<Reply> cancel(JobAccess access, String jobId) {
    return cancel(access, jobId, ATTEMPTS)
        .exceptionally(
            failure ->
                BatchReplies.mayHaveTakenEffect(failure)
                    ? BatchReplies.OUTCOME_UNKNOWN
                    : replies.unavailable());
  }

  private CompletableFuture<Reply> cancel(JobAccess access, String jobId, int attemptsLeft) {
    CompletableFuture<Reply> attempt =
        jobClient
            .change(jobId, current -> cancelled(access, current), CHANGE_TIMEOUT_MS)
            .thenApply(record -> onCommitted(access, jobId, record));
    return attemptsLeft > 1
        ? attempt.exceptionallyCompose(failure -> retry(access, jobId, attemptsLeft - 1, failure))
        : attempt;
  }

  /**
   * Retries the cancellation. If the retry fails too, the future fails with the first failure if
   * that attempt may have taken effect, and with the second failure otherwise.
   */
  private CompletableFuture<Reply> retry(
      JobAccess access, String jobId, int attemptsLeft, Throwable firstFailure) {
    return cancel(access, jobId, attemptsLeft)
        .exceptionallyCompose(
            failure ->
                CompletableFuture.failedFuture(
                    BatchReplies.mayHaveTakenEffect(firstFailure) ? firstFailure : failure));
  }

  /** The record with the cancellation, or null if there is nothing to cancel. */
  private static JobRecord cancelled(JobAccess access, JobRecord current) {
    boolean cancellable = current != null && !current.cancelled() && access.permits(current);
    return cancellable ? current.withCancellation() : null;
  }

  private Reply onCommitted(JobAccess access, String jobId, JobRecord record) {
    if (record == null || !access.permits(record)) {
      return BatchReplies.NOT_FOUND;
    }
    onCancelled.accept(jobId);
    if (!record.runner().equals(context.localAddress())) {
      notifyRunner(jobId, record.runner());
    }
    return BatchReplies.OK;
  }

  private void notifyRunner(String jobId, String runner) {
    byte[] id = new ByteWriter().writeString(jobId).toByteArray();
    context
        .rpcClient()
        .call(
            runner,
            BatchMessageTypes.message(BatchMessageTypes.CANCELLED, id),
            OpaqueMessage.class,
            NOTIFY_TIMEOUT_MS);
  }
}
