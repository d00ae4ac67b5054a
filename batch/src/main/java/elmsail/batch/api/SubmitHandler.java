package elmsail.batch.api;

import elmsail.batch.BatchCalls.Reply;
import elmsail.batch.BatchItem;
import elmsail.batch.client.BatchContext;
import elmsail.batch.client.BatchJobClient;
import elmsail.batch.messages.BatchMessageTypes;
import elmsail.batch.messages.JobBody;
import elmsail.batch.messages.JobDescription;
import elmsail.batch.messages.JobRecord;
import elmsail.batch.messages.TokenCount;
import elmsail.batch.run.JobRunner;
import elmsail.config.Route;
import elmsail.consensus.Register;
import elmsail.rpc.messages.Blob;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * One try to submit a job. The job's tokens are added to the count at a majority of stores, which
 * answer what else waits. If it fits, the counts are read at a majority once more, now that the add
 * surely stands at one: of all jobs that are being accepted, the one whose add stood last sees the
 * others. This second look brings the body, so that it is at a majority before anyone is asked to
 * take the job.
 */
final class SubmitHandler {
  private static final long CHANGE_MS = 1_500;
  private static final long LEAST_MS = 150;
  private static final long AGAIN_MS = 60;

  private enum Verdict {
    THERE,
    FITS,
    FULL,
    UNCOUNTED
  }

  private final BatchContext context;
  private final BatchJobClient store;
  private final JobRunner runner;
  private final Replies replies;
  private final String job;
  private final Route route;
  private final List<BatchItem> batchItems;
  private final TokenCount.Add add;
  private final JobRecord wanted;
  private final Blob body = new Blob();
  private final long until;
  private final CompletableFuture<Reply> reply = new CompletableFuture<>();
  private Verdict verdict;

  /** The count of both rounds: what either round brought. */
  private TokenCount seen = new TokenCount();

  private boolean maySent;

  /**
   * Whether the function has asked for the job to be taken: then one that is found may be this
   * try's.
   */
  private boolean proposed;

  private long began;

  SubmitHandler(
      BatchContext context,
      BatchJobClient store,
      JobRunner runner,
      Replies replies,
      String job,
      Route route,
      List<BatchItem> batchItems,
      long deadlineMs) {
    this.context = context;
    this.store = store;
    this.runner = runner;
    this.replies = replies;
    this.job = job;
    this.route = route;
    this.batchItems = batchItems;
    this.until = context.timers().now() + deadlineMs;
    long tokens = 0;
    List<JobRecord.Item> items = new ArrayList<>(batchItems.size());
    for (BatchItem batchItem : batchItems) {
      items.add(new JobRecord.Item(batchItem.id(), batchItem.tokens()));
      tokens += batchItem.tokens();
    }
    add = new TokenCount.Add(route.name(), job, tokens, context.chance().nextLong());
    body.bytes = JobBody.packed(batchItems);
    body.name = JobBody.nameOf(body.bytes);
    wanted =
        new JobRecord(
            1,
            new JobDescription(
                route.name(),
                route.host(),
                context.known().config().edition(),
                route.runDueMs(),
                route.shelfMs(),
                body.name,
                items),
            List.of(),
            false,
            context.self(),
            1,
            0);
  }

  int bytes() {
    return body.bytes.length;
  }

  CompletableFuture<Reply> begin() {
    round(limit() == 0);
    return reply;
  }

  private void round(boolean second) {
    long left = until - context.timers().now();
    if (left < LEAST_MS) {
      refuse(maySent ? Replies.UNCLEAR : replies.unable());
      return;
    }
    began = context.timers().now();
    context
        .register()
        .change(
            JobRecord.keyOf(job),
            found -> decide(found, second),
            second ? List.of(body) : List.of(),
            add.packed(),
            Math.min(CHANGE_MS, left))
        .whenComplete(
            (held, failed) -> {
              if (failed != null) {
                failed(failed);
              } else {
                held(held, second);
              }
            });
  }

  /** May be called again after a lost race. */
  private Register.Wanted decide(Register.Found found, boolean second) {
    if (found.value() != null) {
      verdict = Verdict.THERE;
      return new Register.Wanted(null, List.of());
    }
    if (found.notes().size() < context.majority()) {
      // A store that answers no count has no room for the add either.
      verdict = Verdict.UNCOUNTED;
      return new Register.Wanted(null, List.of());
    }
    seen.putAll(found.notes());
    long limit = limit();
    long sum = seen.without(job) + add.tokens();
    verdict = limit == 0 || sum <= limit ? Verdict.FITS : Verdict.FULL;
    proposed |= second && verdict == Verdict.FITS;
    return new Register.Wanted(
        second && verdict == Verdict.FITS ? wanted.packed() : null, List.of());
  }

  /** Of the newest configuration here; a route that is gone takes nothing more than it did. */
  private long limit() {
    Route now = context.known().config().named(route.name());
    return now == null ? route.mostWaiting() : now.mostWaiting();
  }

  private void held(Register.Held held, boolean second) {
    if (held.now().value() != null) {
      JobRecord record = store.decided(job, held.now());
      boolean own = record.version() == 1 && record.runner().equals(context.self()) && proposed;
      if (own) {
        store.cache(job, batchItems, bytes());
        runner.adopt(job, record, 0, began);
      }
      reply.complete(Replies.ACCEPTED);
    } else if (verdict == Verdict.FITS && !second) {
      round(true);
    } else {
      refuse(verdict == Verdict.UNCOUNTED ? replies.unable() : replies.full());
    }
  }

  private void failed(Throwable failed) {
    maySent |= Replies.mayHold(failed);
    if (until - context.timers().now() < 2 * LEAST_MS) {
      refuse(maySent ? Replies.UNCLEAR : replies.unable());
    } else {
      seen = new TokenCount();
      context.timers().after(context.about(AGAIN_MS), () -> round(limit() == 0));
    }
  }

  private void refuse(Reply how) {
    if (how.status() != Replies.UNCLEAR.status()) {
      context.askStores(
          BatchMessageTypes.message(BatchMessageTypes.WITHDRAW, add.packed()),
          CHANGE_MS,
          (slot, answer) -> {});
    }
    reply.complete(how);
  }
}
