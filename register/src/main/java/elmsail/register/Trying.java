package elmsail.register;

import elmsail.inner.words.Seating;
import elmsail.inner.words.VoteTold;
import elmsail.station.Code;
import elmsail.station.Timers;
import java.util.concurrent.CompletableFuture;

/** One call of a client: attempts until one decides or its time is over. */
abstract class Trying<R> {
  final RegisterClient client;
  final String key;
  private final CompletableFuture<R> result = new CompletableFuture<>();
  private final long deadline;
  private Timers.Timer overdue;
  private int tries;
  /** Answers to earlier attempts carry an earlier number, and are passed over. */
  private int attempt;

  Trying(RegisterClient client, String key, long timeoutMs) {
    this.client = client;
    this.key = key;
    deadline = client.timers.now() + timeoutMs;
  }

  final CompletableFuture<R> result() {
    return result;
  }

  final void start() {
    overdue = client.timers.after(deadline - client.timers.now(), this::giveUp);
    // Futures must not complete inside the call that makes them.
    client.timers.soon(this::again);
  }

  /** A fresh attempt under that seating, which has seats. */
  abstract void attempt(Seating seating);

  /** How it ends if the time is over. */
  abstract Code codeIfOver();

  final int number() {
    return attempt;
  }

  final boolean current(int number) {
    return number == attempt && !result.isDone();
  }

  final boolean over() {
    return result.isDone();
  }

  final long callMs() {
    return Math.max(1, Math.min(RegisterClient.CALL_MS, deadline - client.timers.now()));
  }

  final long leftMs() {
    return Math.max(0, deadline - client.timers.now());
  }

  /** At once. */
  final void again() {
    if (result.isDone()) {
      return;
    }
    attempt++;
    Seating seating = client.seatings.of();
    if (seating.seats.isEmpty()) {
      backOff();
    } else {
      attempt(seating);
    }
  }

  /** After a random wait, which grows. */
  final void backOff() {
    attempt++;
    client.timers.after(client.backoff(tries++), this::again);
  }

  /** Takes a newer seating; true if there was one, and the attempt under the older has been ended. */
  final boolean renewed(Seating under, Seating told) {
    if (!SeatingRules.newer(told, under)) {
      return false;
    }
    client.seatings.told(told);
    if (SeatingRules.newer(client.seatings.of(), under)) {
      again();
    } else {
      backOff();
    }
    return true;
  }

  final boolean renewed(Seating under, VoteTold told) {
    return told != null && (told.code == VoteTold.OLD_SEATING || told.code == VoteTold.NOT_SEATED)
        && renewed(under, told.seating);
  }

  /** Of an answer that is too late for its attempt: silent seats may have ended that before. */
  final void late(VoteTold told) {
    if (told != null && (told.code == VoteTold.OLD_SEATING || told.code == VoteTold.NOT_SEATED)) {
      late(told.seating);
    }
  }

  final void late(Seating told) {
    if (SeatingRules.newer(told, client.seatings.of())) {
      client.seatings.told(told);
    }
  }

  final void done(R value) {
    overdue.cancel();
    result.complete(value);
  }

  final void failed(Throwable failure) {
    overdue.cancel();
    result.completeExceptionally(failure);
  }

  private void giveUp() {
    failed(RegisterClient.failure(codeIfOver(), client.set(), key));
  }
}
