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
  private Timers.Timer deadlineTimer;
  private int retries;

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
    deadlineTimer = client.timers.schedule(deadline - client.timers.now(), this::onDeadline);
    // Futures must not complete inside the call that makes them.
    client.timers.execute(this::retryNow);
  }

  /** A fresh attempt under that voter set, which has voter slots. */
  abstract void attempt(VoterSet voterSet);

  /** How it ends if the time is over. */
  abstract ErrorCode timeoutErrorCode();

  final int attemptNumber() {
    return attempt;
  }

  final boolean isCurrent(int number) {
    return number == attempt && !result.isDone();
  }

  final boolean isDone() {
    return result.isDone();
  }

  final long callTimeoutMs() {
    return Math.max(1, Math.min(RegisterClient.CALL_TIMEOUT_MS, deadline - client.timers.now()));
  }

  final long remainingMs() {
    return Math.max(0, deadline - client.timers.now());
  }

  /** At once. */
  final void retryNow() {
    if (result.isDone()) {
      return;
    }
    attempt++;
    VoterSet voterSet = client.voterSets.current();
    if (voterSet.voters.isEmpty()) {
      retryAfterBackoff();
    } else {
      attempt(voterSet);
    }
  }

  /** After a random wait, which grows. */
  final void retryAfterBackoff() {
    attempt++;
    client.timers.schedule(client.backoffMs(retries++), this::retryNow);
  }

  /**
   * Takes a newer voter set; true if there was one, and the attempt under the older has been ended.
   */
  final boolean retryUnderNewerVoterSet(VoterSet under, VoterSet received) {
    if (!VoterSets.isNewer(received, under)) {
      return false;
    }
    client.voterSets.learn(received);
    if (VoterSets.isNewer(client.voterSets.current(), under)) {
      retryNow();
    } else {
      retryAfterBackoff();
    }
    return true;
  }

  final boolean retryUnderNewerVoterSet(VoterSet under, VoteResponse response) {
    return response != null
        && (response.code == VoteResponse.STALE_VOTER_SET
            || response.code == VoteResponse.NOT_A_VOTER)
        && retryUnderNewerVoterSet(under, response.voterSet);
  }

  /**
   * Of an answer that is too late for its attempt: silent voter slots may have ended that before.
   */
  final void learnFromLateResponse(VoteResponse response) {
    if (response != null
        && (response.code == VoteResponse.STALE_VOTER_SET
            || response.code == VoteResponse.NOT_A_VOTER)) {
      learnFromLateResponse(response.voterSet);
    }
  }

  final void learnFromLateResponse(VoterSet received) {
    if (VoterSets.isNewer(received, client.voterSets.current())) {
      client.voterSets.learn(received);
    }
  }

  final void complete(R value) {
    deadlineTimer.cancel();
    result.complete(value);
  }

  final void fail(Throwable failure) {
    deadlineTimer.cancel();
    result.completeExceptionally(failure);
  }

  private void onDeadline() {
    fail(RegisterClient.failure(timeoutErrorCode(), client.set(), key));
  }
}
