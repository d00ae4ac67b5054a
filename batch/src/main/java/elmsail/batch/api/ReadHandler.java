package elmsail.batch.api;

import elmsail.batch.BatchService.Reply;
import elmsail.batch.client.BatchContext;
import elmsail.batch.client.BatchJobClient;
import elmsail.batch.messages.JobRecord;
import elmsail.runtime.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** One read of a job's results from a position on, held for a while where there is none yet. */
final class ReadHandler {
  private static final long READ_TIMEOUT_MS = 1_200;
  private static final long POLL_INTERVAL_MS = 250;
  private static final int MAX_PAGE_BYTES = 900_000;
  private static final int MAX_PAGE_RESULTS = 64;
  private static final byte[] NO_TEXT = {};

  private final BatchContext context;
  private final BatchJobClient jobClient;
  private final BatchReplies replies;
  private final String jobId;
  private final long afterPosition;
  private final long deadline;
  private final CompletableFuture<Reply> replyFuture = new CompletableFuture<>();
  private Timers.Timer pollTimer;
  private boolean readInFlight;
  private boolean rereadRequested;

  ReadHandler(
      BatchContext context,
      BatchJobClient jobClient,
      BatchReplies replies,
      String jobId,
      long afterPosition,
      long waitMs) {
    this.context = context;
    this.jobClient = jobClient;
    this.replies = replies;
    this.jobId = jobId;
    this.afterPosition = afterPosition;
    this.deadline = context.timers().now() + waitMs;
  }

  CompletableFuture<Reply> start() {
    readRecord();
    return replyFuture;
  }

  /** The job has changed: looks at once. */
  void wake() {
    if (replyFuture.isDone()) {
      return;
    }
    if (readInFlight) {
      rereadRequested = true;
    } else if (pollTimer != null) {
      pollTimer.cancel();
      readRecord();
    }
  }

  private void readRecord() {
    pollTimer = null;
    readInFlight = true;
    rereadRequested = false;
    jobClient
        .read(jobId, READ_TIMEOUT_MS)
        .whenComplete(
            (record, failure) -> {
              readInFlight = false;
              if (failure != null) {
                replyFuture.complete(replies.unavailable());
              } else if (record == null) {
                replyFuture.complete(BatchReplies.NOT_FOUND);
              } else {
                onRecord(record);
              }
            });
  }

  private void onRecord(JobRecord record) {
    long remainingMs = deadline - context.timers().now();
    if (record.results().size() > afterPosition || !record.isOpen() || remainingMs <= 0) {
      respondWith(record);
    } else if (rereadRequested) {
      readRecord();
    } else {
      pollTimer =
          context
              .timers()
              .schedule(
                  Math.min(
                      remainingMs, POLL_INTERVAL_MS / 2 + context.jittered(POLL_INTERVAL_MS / 2)),
                  this::readRecord);
    }
  }

  private void respondWith(JobRecord record) {
    List<JobRecord.Result> results = record.results();
    List<JobRecord.Result> page = new ArrayList<>();
    long pageBytes = 0;
    for (long i = afterPosition; i < results.size() && page.size() < MAX_PAGE_RESULTS; i++) {
      JobRecord.Result result = results.get((int) i);
      pageBytes += result.textBytes();
      if (!page.isEmpty() && pageBytes > MAX_PAGE_BYTES) {
        break;
      }
      page.add(result);
    }
    byte[][] texts = new byte[page.size()][];
    int[] missing = {page.size()};
    if (page.isEmpty()) {
      replyFuture.complete(
          new Reply(200, ResultPage.toJson(record, afterPosition, page, texts), 0));
    }
    for (int i = 0; i < texts.length; i++) {
      int index = i;
      CompletableFuture<byte[]> textFuture =
          page.get(i).succeeded()
              ? jobClient.readText(jobId, page.get(i), READ_TIMEOUT_MS)
              : CompletableFuture.completedFuture(NO_TEXT);
      textFuture.whenComplete(
          (text, failure) -> {
            if (failure != null) {
              replyFuture.complete(replies.unavailable());
              return;
            }
            texts[index] = text;
            if (--missing[0] == 0) {
              replyFuture.complete(
                  new Reply(200, ResultPage.toJson(record, afterPosition, page, texts), 0));
            }
          });
    }
  }
}
