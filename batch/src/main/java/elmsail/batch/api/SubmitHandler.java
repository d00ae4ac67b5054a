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
 * One try to submit a job, in three rounds. The first looks at what waits on the route, and adds
 * nothing, so that jobs which have no chance are in nobody's way. The second adds the job's tokens
 * at a majority of stores. The third looks once more, now that the add surely stands at a majority:
 * of all jobs that are being accepted, the one whose add stood last sees the others. It brings the
 * body, so that it is at a majority before anyone is asked to take the job.
 *
 * <p>Jobs that are being accepted count against each other, so that of several that would fit one
 * by one each may find the route full. Of these the ones that go first in {@link TokenCount#before}
 * leave their add and look again; the others withdraw, and begin anew once the first are through.
 */
final class SubmitHandler {
  private static final Logger LOG = LoggerFactory.getLogger(SubmitHandler.class);
  private static final long CHANGE_MS = 1_500;
  private static final long LEAST_MS = 150;
  private static final long AGAIN_MS = 60;

  /** How soon a job that waits for others being accepted looks again, where it goes first. */
  private static final long FIRST_LOOK_MS = 25;

  /** And where it goes behind them. */
  private static final long BEHIND_LOOK_MS = 60;

  /** For how long a job waits for others being accepted. */
  private static final long MOST_WAIT_MS = 600;

  /** Stores that did not answer a withdrawal are told again, so often and so much later. */
  private static final int WITHDRAWALS = 4;

  private static final long WITHDRAW_AGAIN_MS = 400;

  private enum Round {
    LOOK,
    ADD,
    TAKE
  }

  private enum Verdict {
    THERE,
    FITS,
    /** Full only by jobs that are being accepted too and go behind this one. */
    FIRST,
    /** Full only by jobs that are being accepted too. */
    BEHIND,
    /** Full by accepted jobs. */
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
  private final JobRecord wanted;
  private final Blob body = new Blob();
  private final long until;
  private final CompletableFuture<Reply> reply = new CompletableFuture<>();
  private Verdict verdict;
  private TokenCount.Add add;

  /** Whether the add may stand at a store. */
  private boolean added;

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
    round(firstRound());
    return reply;
  }

  private Round firstRound() {
    return limit() == 0 ? Round.TAKE : Round.LOOK;
  }

  private void round(Round round) {
    long left = until - context.timers().now();
    if (left < LEAST_MS) {
      refuse(replies.unable());
      return;
    }
    began = context.timers().now();
    rounds++;
    added |= round != Round.LOOK;
    context
        .register()
        .change(
            JobRecord.keyOf(job),
            found -> decide(found, round),
            round == Round.TAKE ? List.of(body) : List.of(),
            (round == Round.LOOK ? add.looking() : add).packed(),
            Math.min(CHANGE_MS, left))
        .whenComplete(
            (held, failed) -> {
              if (failed != null) {
                failed(failed);
              } else {
                held(held, round);
              }
            });
  }

  /** May be called again after a lost race. */
  private Register.ProposedValue decide(Register.ObservedState found, Round round) {
    if (found.value() != null) {
      verdict = Verdict.THERE;
      return new Register.ProposedValue(null, List.of());
    }
    if (found.sideEffects().size() < context.majority()) {
      // A store that answers no count has no room for the add either.
      verdict = Verdict.UNCOUNTED;
      return new Register.ProposedValue(null, List.of());
    }
    seen.putAll(found.sideEffects());
    verdict = judge(round);
    boolean take = round == Round.TAKE && verdict == Verdict.FITS;
    proposed |= take;
    return new Register.ProposedValue(take ? wanted.packed() : null, List.of());
  }

  private Verdict judge(Round round) {
    long limit = limit();
    if (limit == 0 || seen.without(job) + add.tokens() <= limit) {
      return Verdict.FITS;
    }
    if (seen.accepted(job) + add.tokens() > limit) {
      return Verdict.FULL;
    }
    boolean first = seen.before(job) + add.tokens() <= limit;
    return first && round != Round.LOOK ? Verdict.FIRST : Verdict.BEHIND;
  }

  /** Of the newest configuration here; a route that is gone takes nothing more than it did. */
  private long limit() {
    Route now = context.known().config().named(route.name());
    return now == null ? route.mostWaiting() : now.mostWaiting();
  }

  private void held(Register.CommittedState held, Round round) {
    if (held.current().value() != null) {
      JobRecord record = store.decided(job, held.current());
      boolean own = record.version() == 1 && record.runner().equals(context.self()) && proposed;
      if (own) {
        store.cache(job, batchItems, bytes());
        runner.adopt(job, record, 0, began);
      }
      answer(Replies.ACCEPTED);
      return;
    }
    boolean mayWait = context.timers().now() - submittedAt < MOST_WAIT_MS;
    if (verdict == Verdict.FITS) {
      round(round == Round.LOOK ? Round.ADD : Round.TAKE);
    } else if (verdict == Verdict.FIRST && mayWait) {
      later(FIRST_LOOK_MS, Round.ADD);
    } else if (verdict == Verdict.BEHIND && mayWait) {
      withdraw();
      later(BEHIND_LOOK_MS, Round.LOOK);
    } else {
      refuse(verdict == Verdict.UNCOUNTED ? replies.unable() : replies.full());
    }
  }

  private void failed(Throwable failed) {
    maySent |= Replies.mayHold(failed);
    if (until - context.timers().now() < 2 * LEAST_MS) {
      refuse(replies.unable());
    } else {
      later(AGAIN_MS, firstRound());
    }
  }

  /** What was seen is forgotten: others may have withdrawn since. */
  private void later(long aboutMs, Round round) {
    seen = new TokenCount();
    verdict = null;
    context.timers().schedule(context.about(aboutMs), () -> round(round));
  }

  /**
   * Ends the try with a promise that nothing of it runs; but once an acceptance was sent, a store
   * may have taken it alone, and whoever comes upon that finishes it.
   */
  private void refuse(Reply how) {
    if (maySent) {
      answer(Replies.UNCLEAR);
      return;
    }
    withdraw();
    answer(how);
  }

  /** Takes the add back; the next one is told apart from it. */
  private void withdraw() {
    if (added) {
      withdraw(add, context.stores(), WITHDRAWALS);
      added = false;
      add = new TokenCount.Add(add.route(), job, add.tokens(), context.chance().nextLong());
    }
  }

  private void withdraw(TokenCount.Add of, List<Voter> stores, int tries) {
    List<Voter> silent = new ArrayList<>();
    int[] left = {stores.size()};
    context.ask(
        stores,
        BatchMessageTypes.message(BatchMessageTypes.WITHDRAW, of.packed()),
        WITHDRAW_AGAIN_MS,
        (store, answer) -> {
          if (answer == null) {
            silent.add(store);
          }
          if (--left[0] == 0 && !silent.isEmpty() && tries > 1) {
            context.timers().schedule(WITHDRAW_AGAIN_MS, () -> withdraw(of, silent, tries - 1));
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
    if (verdict == Verdict.FULL || verdict == Verdict.FIRST || verdict == Verdict.BEHIND) {
      checkRefusal();
      boolean due = seen.accepted(job) + add.tokens() > limit();
      (due ? counters.submitFull : counters.submitFullByPending).add(1);
    }
  }

  private void checkRefusal() {
    boolean waited = context.timers().now() - submittedAt >= MOST_WAIT_MS;
    boolean room = seen.before(job) + add.tokens() <= limit();
    context
        .invariants()
        .check(
            Invariant.FITTING_JOB_IS_NOT_REFUSED_AT_ONCE,
            waited || !room,
            () -> job + ": " + add.tokens() + " behind " + seen.before(job) + " of " + limit());
  }
}
