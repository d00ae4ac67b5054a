package elmsail.lots.door;

import elmsail.lots.LotCalls.Reply;
import elmsail.lots.store.LotStore;
import elmsail.lots.store.Tools;
import elmsail.lots.words.LotRecord;
import elmsail.station.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** One read of a lot's results from a position on, held for a while where there is none yet. */
final class Reading {
  private static final long READ_MS = 1_200;
  private static final long POLL_MS = 250;
  private static final int MOST_BYTES = 900_000;
  private static final int MOST_RESULTS = 64;
  private static final byte[] NO_TEXT = {};

  private final Tools tools;
  private final LotStore store;
  private final Replies replies;
  private final String lot;
  private final long after;
  private final long until;
  private final CompletableFuture<Reply> reply = new CompletableFuture<>();
  private Timers.Timer poll;
  private boolean under;
  private boolean again;

  Reading(Tools tools, LotStore store, Replies replies, String lot, long after, long waitMs) {
    this.tools = tools;
    this.store = store;
    this.replies = replies;
    this.lot = lot;
    this.after = after;
    this.until = tools.timers().now() + waitMs;
  }

  CompletableFuture<Reply> begin() {
    look();
    return reply;
  }

  /** The lot has changed: looks at once. */
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
    store.read(lot, READ_MS).whenComplete((record, failed) -> {
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

  private void found(LotRecord record) {
    long left = until - tools.timers().now();
    if (record.results().size() > after || !record.open() || left <= 0) {
      give(record);
    } else if (again) {
      look();
    } else {
      poll = tools.timers().after(Math.min(left, POLL_MS / 2 + tools.about(POLL_MS / 2)), this::look);
    }
  }

  private void give(LotRecord record) {
    List<LotRecord.Result> results = record.results();
    List<LotRecord.Result> given = new ArrayList<>();
    long bytes = 0;
    for (long i = after; i < results.size() && given.size() < MOST_RESULTS; i++) {
      LotRecord.Result one = results.get((int) i);
      bytes += one.textBytes();
      if (!given.isEmpty() && bytes > MOST_BYTES) {
        break;
      }
      given.add(one);
    }
    byte[][] texts = new byte[given.size()][];
    int[] missing = {given.size()};
    if (given.isEmpty()) {
      reply.complete(new Reply(200, Deliveries.json(record, after, given, texts), 0));
    }
    for (int i = 0; i < texts.length; i++) {
      int place = i;
      CompletableFuture<byte[]> text = given.get(i).delivered() ? store.text(lot, given.get(i), READ_MS)
          : CompletableFuture.completedFuture(NO_TEXT);
      text.whenComplete((there, failed) -> {
        if (failed != null) {
          reply.complete(replies.unable());
          return;
        }
        texts[place] = there;
        if (--missing[0] == 0) {
          reply.complete(new Reply(200, Deliveries.json(record, after, given, texts), 0));
        }
      });
    }
  }
}
