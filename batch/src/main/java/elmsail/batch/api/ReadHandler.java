package elmsail.batch.api;

import elmsail.batch.BatchService.Reply;
import elmsail.batch.client.BatchContext;
import elmsail.batch.client.BatchJobClient;
import elmsail.batch.messages.JobRecord;
import elmsail.runtime.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Handles one call that reads the results of a job from a given position (long polling). While
 * there are no such results, the handler reads the record again after each change that this gateway
 * makes to the job, and periodically, until the wait time of the call ends. Confined to the
 * gateway's event loop.
 */
final class ReadHandler {
  private static final long READ_TIMEOUT_MS = 1_200;
  private static final long POLL_INTERVAL_MS = 250;
  private static final int MAX_PAGE_TEXT_BYTES = 900_000;
  private static final int MAX_PAGE_RESULTS = 64;
  private static final byte[] NO_TEXT = {};

  private final BatchContext context;
  private final BatchJobClient jobClient;
  private final BatchReplies replies;
  private final JobAccess access;
  private final String jobId;
  private final long afterPosition;
  private final long deadline;
  private final CompletableFuture<Reply> replyFuture = new CompletableFuture<>();
  private Timers.Timer pollTimer;
  private boolean readInFlight;
  private boolean rereadRequested;

  /**
   * @param access the access rights of the caller
   * @param afterPosition the number of results that the client has already received
   * @param waitMs how long to wait for a further result, in ms
   */
  ReadHandler(
      BatchContext context,
      BatchJobClient jobClient,
      BatchReplies replies,
      JobAccess access,
      String jobId,
      long afterPosition,
      long waitMs) {
    this.context = context;
    this.jobClient = jobClient;
    this.replies = replies;
    this.access = access;
    this.jobId = jobId;
    this.afterPosition = afterPosition;
    this.deadline = context.timers().now() + waitMs;
  }

  /** Starts the first read. The future never fails. */
  CompletableFuture<Reply> start() {
    readRecord();
    return replyFuture;
  }

  /** Reads the record at once, or again as soon as the read in progress completes. */
  void onJobChanged() {
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
              } else if (record == null || !access.permits(record)) {
                replyFuture.complete(BatchReplies.NOT_FOUND);
              } else {
                onRecord(record);
              }
            });
  }

  private void onRecord(JobRecord record) {
    long remainingMs = deadline - context.timers().now();
    if (record.results().size() > afterPosition || !record.isOpen() || remainingMs <= 0) {
      new PageReply(record, selectPage(record)).start();
    } else if (rereadRequested) {
      readRecord();
    } else {
      long pollMs = POLL_INTERVAL_MS / 2 + context.jittered(POLL_INTERVAL_MS / 2);
      pollTimer = context.timers().schedule(Math.min(remainingMs, pollMs), this::readRecord);
    }
  }

  private List<JobRecord.Result> selectPage(JobRecord record) {
    List<JobRecord.Result> results = record.results();
    List<JobRecord.Result> page = new ArrayList<>();
    long pageBytes = 0;
    for (long i = afterPosition; i < results.size() && page.size() < MAX_PAGE_RESULTS; i++) {
      JobRecord.Result result = results.get((int) i);
      pageBytes += result.textBytes();
      if (!page.isEmpty() && pageBytes > MAX_PAGE_TEXT_BYTES) {
        break;
      }
      page.add(result);
    }
    return page;
  }

  /**
   * Collects the texts of one page of results and replies with the page. Replies 503 if any text
   * cannot be read.
   */
  private final class PageReply {
    private final JobRecord record;
    private final List<JobRecord.Result> page;
    private final byte[][] texts;
    private int missing;

    PageReply(JobRecord record, List<JobRecord.Result> page) {
      this.record = record;
      this.page = page;
      this.texts = new byte[page.size()][];
      this.missing = page.size();
    }

    void start() {
      if (page.isEmpty()) {
        reply();
      }
      for (int i = 0; i < texts.length; i++) {
        int index = i;
        readText(page.get(i)).whenComplete((text, failure) -> onText(index, text, failure));
      }
    }

    private CompletableFuture<byte[]> readText(JobRecord.Result result) {
      return result.succeeded()
          ? jobClient.readText(jobId, result, READ_TIMEOUT_MS)
          : CompletableFuture.completedFuture(NO_TEXT);
    }

    private void onText(int index, byte[] text, Throwable failure) {
      if (failure != null) {
        replyFuture.complete(replies.unavailable());
        return;
      }
      texts[index] = text;
      missing--;
      if (missing == 0) {
        reply();
      }
    }

    private void reply() {
      byte[] json = ResultPage.toJson(record, afterPosition, page, texts);
      replyFuture.complete(new Reply(BatchReplies.OK.status(), json, 0));
    }
  }
}
