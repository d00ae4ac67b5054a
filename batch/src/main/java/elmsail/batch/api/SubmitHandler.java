package elmsail.batch.api;

import elmsail.batch.BatchCalls.Reply;
import elmsail.batch.BatchItem;
import elmsail.batch.client.BatchContext;
import elmsail.batch.client.BatchCounters;
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
import elmsail.rpc.messages.Voter;
import elmsail.runtime.Invariant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One try to submit a job. The job's tokens are added to the count at a majority of stores, which
 * answer what else waits. If it fits, the counts are read at a majority once more, now that the add
 * surely stands at one: of all jobs that are being accepted, the one whose add stood last sees the
 * others. This second look brings the body, so that it is at a majority before anyone is asked to
 * take the job.
 *
 * <p>Jobs that are being accepted count against each other, so that of several that would fit one
 * by one each may find the route full. Of these the ones that go first in {@link TokenCount#before}
 * leave their add and look again; the others withdraw. So the first of them is always accepted, or
 * one that was already past its second look.
 */
final class SubmitHandler {
  private static final Logger LOG = LoggerFactory.getLogger(SubmitHandler.class);
  private static final long CHANGE_MS = 1_500;
  private static final long LEAST_MS = 150;
  private static final long AGAIN_MS = 60;

  /** How soon a contended job looks again, and for how long it does. */
  private static final long CONTENDED_LOOK_MS = 25;

  private static final long MOST_CONTENDED_MS = 800;

  /** Stores that did not answer a withdrawal are told again, so often and so much later. */
  private static final int WITHDRAWALS = 4;

  private static final long WITHDRAW_AGAIN_MS = 400;

  private enum Verdict {
    THERE,
    FITS,
    /** Full only by jobs that are being accepted too and go behind this one. */
    CONTENDED,
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

  private final long submittedAt;
  private long began;
  private int rounds;

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
    this.submittedAt = context.timers().now();
    this.until = submittedAt + deadlineMs;
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
    rounds++;
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
    if (limit == 0 || sum <= limit) {
      verdict = Verdict.FITS;
    } else {
      boolean first = seen.before(job) + add.tokens() <= limit;
      verdict = first ? Verdict.CONTENDED : Verdict.FULL;
    }
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
      answer(Replies.ACCEPTED);
    } else if (verdict == Verdict.FITS && !second) {
      round(true);
    } else if (verdict == Verdict.CONTENDED
        && context.timers().now() - submittedAt < MOST_CONTENDED_MS) {
      lookAgain(CONTENDED_LOOK_MS);
    } else {
      refuse(verdict == Verdict.UNCOUNTED ? replies.unable() : replies.full());
    }
  }

  private void failed(Throwable failed) {
    maySent |= Replies.mayHold(failed);
    if (until - context.timers().now() < 2 * LEAST_MS) {
      refuse(maySent ? Replies.UNCLEAR : replies.unable());
    } else {
      lookAgain(AGAIN_MS);
    }
  }

  /** What was seen is forgotten: others may have withdrawn since. The add stands all the while. */
  private void lookAgain(long aboutMs) {
    seen = new TokenCount();
    verdict = null;
    context.timers().after(context.about(aboutMs), () -> round(limit() == 0));
  }

  private void refuse(Reply how) {
    if (how.status() != Replies.UNCLEAR.status()) {
      withdraw(context.stores(), WITHDRAWALS);
    }
    answer(how);
  }

  private void withdraw(List<Voter> stores, int tries) {
    List<Voter> silent = new ArrayList<>();
    int[] left = {stores.size()};
    context.ask(
        stores,
        BatchMessageTypes.message(BatchMessageTypes.WITHDRAW, add.packed()),
        WITHDRAW_AGAIN_MS,
        (store, answer) -> {
          if (answer == null) {
            silent.add(store);
          }
          if (--left[0] == 0 && !silent.isEmpty() && tries > 1) {
            context.timers().after(WITHDRAW_AGAIN_MS, () -> withdraw(silent, tries - 1));
          }
        });
  }

  private void answer(Reply how) {
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "submit {} {}: own={} waiting={} of these pending={} limit={} verdict={} rounds={} ms={}"
              + " bytes={}",
          job,
          how.status(),
          add.tokens(),
          seen.without(job),
          seen.pendingWithout(job),
          limit(),
          verdict,
          rounds,
          context.timers().now() - submittedAt,
          body.bytes.length);
    }
    count(how);
    reply.complete(how);
  }

  private void count(Reply how) {
    BatchCounters counters = context.counters();
    if (how.status() == Replies.ACCEPTED.status()) {
      counters.submitAccepted.add(1);
    } else {
      counters.submitRefused.add(1);
    }
    if (verdict == Verdict.FULL || verdict == Verdict.CONTENDED) {
      checkRefusal();
      boolean due = seen.accepted(job) + add.tokens() > limit();
      (due ? counters.submitFull : counters.submitFullByPending).add(1);
    }
  }

  private void checkRefusal() {
    boolean waited = context.timers().now() - submittedAt >= MOST_CONTENDED_MS;
    boolean room = seen.before(job) + add.tokens() <= limit();
    context
        .invariants()
        .check(
            Invariant.FITTING_JOB_IS_NOT_REFUSED_AT_ONCE,
            waited || !room,
            () -> job + ": " + add.tokens() + " behind " + seen.before(job) + " of " + limit());
  }
}
