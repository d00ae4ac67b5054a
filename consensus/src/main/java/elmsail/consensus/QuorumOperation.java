package elmsail.consensus;

import elmsail.rpc.messages.VoteResponse;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import java.util.concurrent.CompletableFuture;

/**
 * One call of a {@link RegisterClient}: a sequence of attempts, each under one voter set, until one
 * attempt decides the operation or the timeout expires. Runs on the client's event loop.
 *
 * <p>An attempt ends and the next one begins when too many voters refuse, or when a response
 * carries a newer voter set. Of responses to earlier attempts, only the voter set is used.
 *
 * @param <R> the type of the result
 */
abstract class QuorumOperation<R> {
  final RegisterClient client;
  final String key;
  private final CompletableFuture<R> result = new CompletableFuture<>();
  private final long deadlineAtMs;
  private Timers.Timer deadlineTimer;
  private int backoffs;

  /** The number of the latest attempt. */
  private int latestAttempt;

  QuorumOperation(RegisterClient client, String key, long timeoutMs) {
    this.client = client;
    this.key = key;
    deadlineAtMs = client.timers.now() + timeoutMs;
  }

  final CompletableFuture<R> result() {
    return result;
  }

  final void start() {
    deadlineTimer = client.timers.schedule(deadlineAtMs - client.timers.now(), this::onDeadline);
    // Futures must not complete within the call that returns them.
    client.timers.execute(this::retryNow);
  }

  /**
   * Starts an attempt.
   *
   * @param voterSet has at least one voter
   */
  abstract void startAttempt(VoterSet voterSet);

  /** The error code with which the operation fails if the timeout expires now. */
  abstract ErrorCode timeoutErrorCode();

  final boolean isDone() {
    return result.isDone();
  }

  /** The timeout of one call to a voter, at least 1 ms. */
  final long callTimeoutMs() {
    return Math.max(
        1, Math.min(RegisterClient.CALL_TIMEOUT_MS, deadlineAtMs - client.timers.now()));
  }

  /** The time until the timeout expires, at least 0. */
  final long remainingMs() {
    return Math.max(0, deadlineAtMs - client.timers.now());
  }

  /** Ends the attempt, and starts the next one at once. */
  final void retryNow() {
    if (result.isDone()) {
      return;
    }
    latestAttempt++;
    VoterSet voterSet = client.voterSets.current();
    if (voterSet.voters.isEmpty()) {
      retryAfterBackoff();
    } else {
      startAttempt(voterSet);
    }
  }

  /** Ends the attempt, and starts the next one after a random, growing backoff. */
  final void retryAfterBackoff() {
    latestAttempt++;
    client.timers.schedule(client.backoffMs(backoffs++), this::retryNow);
  }

  final void complete(R value) {
    deadlineTimer.cancel();
    result.complete(value);
  }

  final void fail(Throwable failure) {
    deadlineTimer.cancel();
    result.completeExceptionally(failure);
  }

  /** A failure that names the set and the key. */
  final ElmsailException failure(ErrorCode code, Throwable cause) {
    return new ElmsailException(code, client.set() + " " + key, cause);
  }

  private void onDeadline() {
    fail(failure(timeoutErrorCode(), null));
  }

  /** One attempt, under one voter set. */
  abstract class Attempt {
    final VoterSet voterSet;
    final int voters;
    final int majority;
    private final int number = latestAttempt;

    Attempt(VoterSet voterSet) {
      this.voterSet = voterSet;
      voters = voterSet.voters.size();
      majority = VoterSets.majoritySize(voters);
    }

    /** Whether no later attempt was started; the operation may be done. */
    final boolean isLatest() {
      return number == latestAttempt;
    }

    /** Whether this attempt may still decide the operation. */
    final boolean isCurrent() {
      return isLatest() && !isDone();
    }

    /** Calls the voter of a slot with the timeout of one call. */
    final <A> CompletableFuture<A> call(int slot, Object request, Class<A> responseType) {
      String address = voterSet.voters.get(slot).address;
      return client.rpcClient.call(address, request, responseType, callTimeoutMs());
    }

    /**
     * Retries if a voter refused this attempt because of its voter set and sent a newer one.
     *
     * @param response null if the voter did not respond
     * @return whether this attempt was ended
     */
    final boolean retryUnderNewerVoterSet(VoteResponse response) {
      return response != null
          && carriesVoterSet(response)
          && retryUnderNewerVoterSet(response.voterSet);
    }

    /** As {@link #retryUnderNewerVoterSet(VoteResponse)}, for the voter set of a response. */
    final boolean retryUnderNewerVoterSet(VoterSet received) {
      if (!VoterSets.isNewer(received, voterSet)) {
        return false;
      }
      client.voterSets.learn(received);
      if (VoterSets.isNewer(client.voterSets.current(), voterSet)) {
        retryNow();
      } else {
        retryAfterBackoff();
      }
      return true;
    }

    /**
     * Learns the voter set of a response that arrives after this attempt ended. Failed calls may
     * end an attempt before a slower response brings a newer voter set.
     *
     * @param response null if the voter did not respond
     */
    final void learnFromLateResponse(VoteResponse response) {
      if (response != null && carriesVoterSet(response)) {
        learnFromLateResponse(response.voterSet);
      }
    }

    final void learnFromLateResponse(VoterSet received) {
      if (VoterSets.isNewer(received, client.voterSets.current())) {
        client.voterSets.learn(received);
      }
    }

    private static boolean carriesVoterSet(VoteResponse response) {
      return response.code == VoteResponse.STALE_VOTER_SET
          || response.code == VoteResponse.NOT_A_VOTER;
    }
  }
}
