package elmsail.batch.api;

import elmsail.batch.BatchCalls.Reply;
import elmsail.batch.client.BatchContext;
import elmsail.batch.client.BatchJobClient;
import elmsail.batch.messages.JobRecord;
import elmsail.runtime.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** One read of a job's results from a position on, held for a while where there is none yet. */
final class ReadHandler {
  private static final long READ_MS = 1_200;
  private static final long POLL_MS = 250;
  private static final int MOST_BYTES = 900_000;
  private static final int MOST_RESULTS = 64;
  private static final byte[] NO_TEXT = {};

  private final BatchContext context;
  private final BatchJobClient store;
  private final Replies replies;
  private final String job;
  private final long after;
  private final long until;
  private final CompletableFuture<Reply> reply = new CompletableFuture<>();
  private Timers.Timer poll;
  private boolean under;
  private boolean again;

  ReadHandler(
      BatchContext context,
      BatchJobClient store,
      Replies replies,
      String job,
      long after,
      long waitMs) {
    this.context = context;
    this.store = store;
    this.replies = replies;
    this.job = job;
    this.after = after;
    this.until = context.timers().now() + waitMs;
  }

  CompletableFuture<Reply> begin() {
    look();
    return reply;
  }

  /** The job has changed: looks at once. */
  void wake() {
    if (reply.isDone()) {
      return;
    }
    if (under) {
      again = true;
    } else if (poll != null) {
      poll.cancel();
      look();
    }
  }

  private void look() {
    poll = null;
    under = true;
    again = false;
    store
        .read(job, READ_MS)
        .whenComplete(
            (record, failed) -> {
              under = false;
              if (failed != null) {
                reply.complete(replies.unable());
              } else if (record == null) {
                reply.complete(Replies.NONE);
              } else {
                found(record);
              }
            });
  }

  private void found(JobRecord record) {
    long left = until - context.timers().now();
    if (record.results().size() > after || !record.open() || left <= 0) {
      give(record);
    } else if (again) {
      look();
    } else {
      poll =
          context
              .timers()
              .schedule(Math.min(left, POLL_MS / 2 + context.about(POLL_MS / 2)), this::look);
    }
  }

  private void give(JobRecord record) {
    List<JobRecord.Result> results = record.results();
    List<JobRecord.Result> given = new ArrayList<>();
    long bytes = 0;
    for (long i = after; i < results.size() && given.size() < MOST_RESULTS; i++) {
      JobRecord.Result one = results.get((int) i);
      bytes += one.textBytes();
      if (!given.isEmpty() && bytes > MOST_BYTES) {
        break;
      }
      given.add(one);
    }
    byte[][] texts = new byte[given.size()][];
    int[] missing = {given.size()};
    if (given.isEmpty()) {
      reply.complete(new Reply(200, ResultPage.json(record, after, given, texts), 0));
    }
    for (int i = 0; i < texts.length; i++) {
      int place = i;
      CompletableFuture<byte[]> text =
          given.get(i).delivered()
              ? store.text(job, given.get(i), READ_MS)
              : CompletableFuture.completedFuture(NO_TEXT);
      text.whenComplete(
          (there, failed) -> {
            if (failed != null) {
              reply.complete(replies.unable());
              return;
            }
            texts[place] = there;
            if (--missing[0] == 0) {
              reply.complete(new Reply(200, ResultPage.json(record, after, given, texts), 0));
            }
          });
    }
  }
}
