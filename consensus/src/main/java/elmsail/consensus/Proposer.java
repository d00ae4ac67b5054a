package elmsail.consensus;

import elmsail.consensus.Register.CommittedState;
import elmsail.consensus.Register.ObservedState;
import elmsail.consensus.Register.ProposedValue;
import elmsail.consensus.Register.VersionedValue;
import elmsail.consensus.RegisterClient.CachedPromise;
import elmsail.rpc.messages.AcceptRequest;
import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.PrepareRequest;
import elmsail.rpc.messages.VoteResponse;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ErrorCode;
import java.util.List;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One change of a key (a proposer of CASPaxos). Runs a prepare phase and an accept phase at a
 * majority, and repeats both until one attempt commits a value or the change is declined.
 *
 * <p>A client that changes a key repeatedly skips the prepare phase: each of its accept requests
 * also requests the promise of its next ballot. The next change uses this promise if a majority
 * gave it under the same voter set.
 */
final class Proposer extends QuorumOperation<CommittedState> {
  private static final Logger LOG = LoggerFactory.getLogger(Proposer.class);

  /** How many attempts are retried after voters did not admit the value. */
  private static final int MAX_ADMISSION_REFUSALS = 2;

  private final Function<ObservedState, ProposedValue> change;
  private final List<Blob> blobs;
  private final byte[] sideEffect;

  /** The ballot of the last accept request of this change; round 0 if none was sent. */
  private Ballot lastSent = new Ballot();

  private int admissionRefusals;
  private int preemptedAttempts;

  /**
   * @param sideEffect sent with the prepare request, so the prepare phase is never skipped if there
   *     is one; null for none
   */
  Proposer(
      RegisterClient client,
      String key,
      Function<ObservedState, ProposedValue> change,
      List<Blob> blobs,
      byte[] sideEffect,
      long timeoutMs) {
    super(client, key, timeoutMs);
    this.change = change;
    this.blobs = blobs;
    this.sideEffect = sideEffect;
  }

  @Override
  ErrorCode timeoutErrorCode() {
    return Ballots.isNone(lastSent) ? ErrorCode.NO_QUORUM : ErrorCode.OUTCOME_UNKNOWN;
  }

  @Override
  void startAttempt(VoterSet voterSet) {
    CachedPromise promise = sideEffect == null ? client.takeCachedPromise(key) : null;
    if (promise != null && promise.isUsableUnder(voterSet)) {
      ProposedValue proposed = propose(new ObservedState(promise.value(), List.of()));
      if (isDone()) {
        return;
      }
      if (proposed.value() != null) {
        new ChangeAttempt(voterSet, promise.nextBallot(), true)
            .accept(proposed.value(), true, proposed.blobs());
        return;
      }
      // The cached value may be stale: a change may only be declined for a value that a majority
      // responded with.
      client.cachePromise(key, CachedPromise.none(voterSet));
    }
    new ChangeAttempt(voterSet, client.nextBallot(), promise != null).prepare();
  }

  /**
   * Calls the change function. If it throws, the operation fails and the result is null. The
   * exception is the result of the change, unless an earlier proposal may still be committed.
   */
  private ProposedValue propose(ObservedState observed) {
    try {
      return change.apply(observed);
    } catch (RuntimeException e) {
      fail(Ballots.isNone(lastSent) ? e : failure(ErrorCode.OUTCOME_UNKNOWN, e));
      return null;
    }
  }

  /**
   * One ballot: a prepare phase, unless a cached promise replaces it, then an accept phase, both
   * under one voter set.
   */
  private final class ChangeAttempt extends Attempt {
    private final Ballot ballot;

    /** Whether to request the promise of the next ballot: this client changed the key before. */
    private final boolean requestNextPromise;

    private final VoteResponse[] promises;

    /** By slot: whether the voter responded to the prepare request, or it is in flight there. */
    private final boolean[] prepareConcluded;

    private boolean prepareSent;
    private int promiseCount;
    private int refusals;

    /** Null in the prepare phase. */
    private AcceptPhase acceptPhase;

    private boolean changed;
    private int acceptCount;
    private int notAdmitted;
    private int nextPromiseCount;

    ChangeAttempt(VoterSet voterSet, Ballot ballot, boolean requestNextPromise) {
      super(voterSet);
      this.ballot = ballot;
      this.requestNextPromise = requestNextPromise;
      promises = new VoteResponse[voters];
      prepareConcluded = new boolean[voters];
      refusals = VoterSets.uncountedSlots(voterSet);
    }

    void prepare() {
      prepareSent = true;
      PrepareRequest request = new PrepareRequest();
      request.set = client.set();
      request.key = key;
      request.ballot = ballot;
      request.voterSet = voterSet;
      request.blobs = blobs;
      request.sideEffect = sideEffect;
      new PreparePhase(
              client,
              voterSet,
              request,
              callTimeoutMs(),
              Math.max(1, remainingMs()),
              () -> isCurrent() && acceptPhase == null,
              new PreparePhase.VoteListener() {
                @Override
                public void onVote(int slot, VoteResponse vote) {
                  onPrepareResponse(slot, vote);
                }

                @Override
                public void onPending(int slot) {
                  onPreparePending(slot);
                }
              })
          .send();
    }

    private void onPrepareResponse(int slot, VoteResponse response) {
      prepareConcluded[slot] = true;
      boolean promised = response != null && response.code == VoteResponse.OK;
      if (response != null) {
        client.observe(response.promised);
        client.observe(response.accepted);
      }
      if (acceptPhase != null && isLatest()) {
        // A majority promised before this voter responded. The accept request to this voter waited
        // for its response, so that the blobs aren't sent twice.
        acceptPhase.send(slot, promised);
        return;
      }
      if (!isCurrent()) {
        learnFromLateResponse(response);
        return;
      }
      if (acceptPhase != null || retryUnderNewerVoterSet(response)) {
        return;
      }
      if (promised) {
        promises[slot] = response;
        if (++promiseCount >= majority) {
          chooseValue();
        }
      } else if (++refusals > voters - majority) {
        retryAfter(response);
      }
    }

    /**
     * The prepare request and its blobs are in flight, so the accept request may omit the blobs.
     */
    private void onPreparePending(int slot) {
      if (acceptPhase != null && isLatest()) {
        prepareConcluded[slot] = true;
        acceptPhase.send(slot, true);
      } else {
        onPrepareResponse(slot, null);
      }
    }

    /**
     * Retries the first attempt that was preempted by a higher ballot at once, and all others after
     * a backoff.
     */
    private void retryAfter(VoteResponse lastResponse) {
      boolean preempted = lastResponse != null && lastResponse.code == VoteResponse.BALLOT_TOO_LOW;
      if (preempted && preemptedAttempts++ == 0) {
        retryNow();
      } else {
        retryAfterBackoff();
      }
    }

    /** A majority promised: applies the change to the value of the highest accepted ballot. */
    private void chooseValue() {
      PromiseQuorum quorum = new PromiseQuorum(promises, majority);
      byte[] found = quorum.value();
      ProposedValue proposed = propose(new ObservedState(found, quorum.sideEffects()));
      if (isDone()) {
        return;
      }
      if (proposed.value() != null) {
        accept(proposed.value(), true, proposed.blobs());
      } else if (!proposed.fencesEarlierProposals() && quorum.isSettledSince(lastSent)) {
        complete(new CommittedState(new VersionedValue(quorum.highestAccepted(), found), false));
      } else {
        logFence(quorum.highestAccepted());
        // The change was declined, but the value on which this decision is based is not committed
        // yet, or a value that was proposed before may still be committed instead. Committing the
        // value that was found, or its absence, at this higher ballot prevents that.
        accept(found, false, List.of());
      }
    }

    private void logFence(Ballot found) {
      if (!Ballots.isNone(lastSent)) {
        LOG.info(
            "change declined after an accept request was sent, committing the value found:"
                + " set={} key={} sent={} found={} ballot={}",
            client.set(),
            key,
            lastSent.round,
            found.round,
            ballot.round);
      }
    }

    /**
     * Starts the accept phase. The accept request is sent at once to the voters that promised, and
     * to the voters whose prepare is concluded, was never sent, or carried no blobs. All other
     * voters get it when their prepare is concluded.
     *
     * @param value null commits the absence of a value
     * @param valueBlobs the blobs of the value itself; null counts as none
     */
    void accept(byte[] value, boolean changed, List<Blob> valueBlobs) {
      lastSent = ballot;
      this.changed = changed;
      refusals = VoterSets.uncountedSlots(voterSet);
      AcceptRequest request = new AcceptRequest();
      request.set = client.set();
      request.key = key;
      request.ballot = ballot;
      request.voterSet = voterSet;
      request.value = value;
      if (requestNextPromise) {
        request.nextBallot = client.nextBallotAfter(ballot);
      }
      acceptPhase =
          new AcceptPhase(
              voterSet,
              request,
              blobs,
              valueBlobs == null ? List.of() : valueBlobs,
              (slot, accept) ->
                  call(slot, accept, VoteResponse.class)
                      .whenComplete((response, failure) -> onAcceptResponse(response)));
      for (int slot = 0; slot < voters; slot++) {
        if (promises[slot] != null) {
          acceptPhase.send(slot, true);
        } else if (blobs.isEmpty() || prepareConcluded[slot] || !prepareSent) {
          acceptPhase.send(slot, false);
        }
      }
    }

    private void onAcceptResponse(VoteResponse response) {
      boolean accepted = response != null && response.code == VoteResponse.OK;
      if (response != null) {
        client.observe(response.promised);
      }
      Ballot nextBallot = acceptPhase.request().nextBallot;
      if (accepted
          && !Ballots.isNone(nextBallot)
          && Ballots.areEqual(response.promised, nextBallot)) {
        nextPromiseCount++;
      }
      if (!isCurrent()) {
        learnFromLateResponse(response);
      } else if (accepted) {
        if (++acceptCount >= majority) {
          commit();
        }
      } else if (!retryUnderNewerVoterSet(response)) {
        onAcceptRefused(response);
      }
    }

    private void commit() {
      AcceptRequest request = acceptPhase.request();
      Ballot nextBallot = nextPromiseCount >= majority ? request.nextBallot : null;
      client.cachePromise(key, new CachedPromise(nextBallot, request.value, voterSet));
      complete(new CommittedState(new VersionedValue(ballot, request.value), changed));
    }

    private void onAcceptRefused(VoteResponse response) {
      refusals++;
      if (response != null && response.code == VoteResponse.NOT_ADMITTED) {
        notAdmitted++;
      }
      if (refusals <= voters - majority) {
        return;
      }
      if (notAdmitted > 0 && admissionRefusals++ >= MAX_ADMISSION_REFUSALS) {
        fail(failure(ErrorCode.OUTCOME_UNKNOWN, null));
      } else {
        retryAfter(response);
      }
    }
  }
}
