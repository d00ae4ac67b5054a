package elmsail.consensus;

import elmsail.rpc.messages.VoteResponse;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import java.util.concurrent.CompletableFuture;

/** One call of a client: attempts until one decides or its time is over. */
abstract class QuorumOperation<R> {
  final RegisterClient client;
  final String key;
  private final CompletableFuture<R> result = new CompletableFuture<>();
  private final long deadline;
  private Timers.Timer overdue;
  private int tries;

  /** Answers to earlier attempts carry an earlier number, and are passed over. */
  private int attempt;

  QuorumOperation(RegisterClient client, String key, long timeoutMs) {
    this.client = client;
    this.key = key;
    deadline = client.timers.now() + timeoutMs;
  }

  final CompletableFuture<R> result() {
    return result;
  }

  final void start() {
    overdue = client.timers.schedule(deadline - client.timers.now(), this::giveUp);
    // Futures must not complete inside the call that makes them.
    client.timers.execute(this::again);
  }

  /** A fresh attempt under that voter set, which has voter slots. */
  abstract void attempt(VoterSet voterSet);

  /** How it ends if the time is over. */
  abstract ErrorCode codeIfOver();

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
    VoterSet voterSet = client.voterSets.current();
    if (voterSet.voters.isEmpty()) {
      backOff();
    } else {
      attempt(voterSet);
    }
  }

  /** After a random wait, which grows. */
  final void backOff() {
    attempt++;
    client.timers.schedule(client.backoff(tries++), this::again);
  }

  /**
   * Takes a newer voter set; true if there was one, and the attempt under the older has been ended.
   */
  final boolean renewed(VoterSet under, VoterSet response) {
    if (!VoterSets.newer(response, under)) {
      return false;
    }
    client.voterSets.learn(response);
    if (VoterSets.newer(client.voterSets.current(), under)) {
      again();
    } else {
      backOff();
    }
    return true;
  }

  final boolean renewed(VoterSet under, VoteResponse response) {
    return response != null
        && (response.code == VoteResponse.STALE_VOTER_SET || response.code == VoteResponse.NOT_A_VOTER)
        && renewed(under, response.voterSet);
  }

  /**
   * Of an answer that is too late for its attempt: silent voter slots may have ended that before.
   */
  final void late(VoteResponse response) {
    if (response != null
        && (response.code == VoteResponse.STALE_VOTER_SET
            || response.code == VoteResponse.NOT_A_VOTER)) {
      late(response.voterSet);
    }
  }

  final void late(VoterSet response) {
    if (VoterSets.newer(response, client.voterSets.current())) {
      client.voterSets.learn(response);
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
