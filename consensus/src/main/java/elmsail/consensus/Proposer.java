package elmsail.consensus;

import elmsail.consensus.Register.CommittedState;
import elmsail.consensus.Register.ObservedState;
import elmsail.consensus.Register.ProposedValue;
import elmsail.consensus.Register.VersionedValue;
import elmsail.rpc.messages.AcceptRequest;
import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.PrepareRequest;
import elmsail.rpc.messages.VoteResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ErrorCode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** One change of a key: prepare and accept at a majority, again until one attempt decides. */
final class Proposer extends QuorumOperation<CommittedState> {
  private static final int MAX_ADMISSION_REFUSALS = 2;

  private final Function<ObservedState, ProposedValue> change;
  private final List<Blob> blobs;
  private final byte[] sideEffect;
  private boolean acceptSent;
  private int admissionRefusals;
  private int outbidAttempts;

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
    return acceptSent ? ErrorCode.OUTCOME_UNKNOWN : ErrorCode.NO_QUORUM;
  }

  @Override
  void attempt(VoterSet voterSet) {
    RegisterClient.CachedPromise cachedPromise =
        sideEffect == null ? client.takeCachedPromise(key) : null;
    if (cachedPromise != null
        && cachedPromise.nextBallot() != null
        && VoterSets.areEqual(cachedPromise.voterSet(), voterSet)) {
      ProposedValue proposed = propose(new ObservedState(cachedPromise.value(), List.of()));
      if (isDone()) {
        return;
      }
      if (proposed.value() != null) {
        new Attempt(voterSet, cachedPromise.nextBallot(), true)
            .accept(proposed.value(), true, proposed.blobs());
        return;
      }
      // What was kept may be old: a change is declined only on what a majority tells.
      client.cachePromise(
          key, new RegisterClient.CachedPromise(null, new Ballot(), null, voterSet));
    }
    new Attempt(voterSet, client.nextBallot(), cachedPromise != null).prepare();
  }

  private ProposedValue propose(ObservedState observed) {
    try {
      return change.apply(observed);
    } catch (RuntimeException e) {
      fail(e);
      return null;
    }
  }

  /** One ballot: both its rounds are under one voter set. */
  private final class Attempt {
    private final int attemptNumber = attemptNumber();
    private final VoterSet voterSet;
    private final int voters;
    private final int majority;
    private final Ballot ballot;

    /** Whether this client changed the key before, so that it may well do so again. */
    private final boolean promiseAhead;

    private final VoteResponse[] promises;
    private final boolean[] responded;
    private final boolean[] acceptSentTo;
    private boolean prepared;
    private boolean accepting;
    private AcceptRequest accept;
    private List<Blob> acceptBlobs = List.of();
    private boolean isChange;
    private int acknowledgements;
    private int refusals;
    private int notAdmitted;
    private int nextBallotPromises;

    Attempt(VoterSet voterSet, Ballot ballot, boolean repeated) {
      this.voterSet = voterSet;
      this.ballot = ballot;
      this.promiseAhead = repeated;
      voters = voterSet.voters.size();
      majority = VoterSets.majoritySize(voters);
      promises = new VoteResponse[voters];
      responded = new boolean[voters];
      acceptSentTo = new boolean[voters];
      for (int i = 0; i < voters; i++) {
        acceptSentTo[i] = !VoterSets.isCounted(voterSet, i);
      }
      refusals = VoterSets.uncountedSlots(voterSet);
    }

    void prepare() {
      prepared = true;
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
              () -> isCurrent(attemptNumber) && !accepting,
              new PreparePhase.VoteListener() {
                @Override
                public void onVote(int slot, VoteResponse vote) {
                  prepared(slot, vote);
                }

                @Override
                public void onPending(int slot) {
                  onPreparePending(slot);
                }
              })
          .send();
    }

    private void prepared(int slot, VoteResponse response) {
      responded[slot] = true;
      boolean granted = response != null && response.code == VoteResponse.OK;
      if (response != null) {
        client.observe(response.promised);
        client.observe(response.accepted);
      }
      if (accepting && attemptNumber == attemptNumber()) {
        // It is behind the majority's promises: its accept waited for this, so as not to send blobs
        // twice.
        sendAccept(slot, granted);
        return;
      }
      if (!isCurrent(attemptNumber)) {
        learnFromLateResponse(response);
        return;
      }
      if (accepting || retryUnderNewerVoterSet(voterSet, response)) {
        return;
      }
      if (granted) {
        promises[slot] = response;
        if (++acknowledgements >= majority) {
          chooseValue();
        }
      } else if (++refusals > voters - majority) {
        retry(response);
      }
    }

    /** The blobs are on their way to it: its accept needn't bring them. */
    private void onPreparePending(int slot) {
      if (accepting && attemptNumber == attemptNumber()) {
        responded[slot] = true;
        sendAccept(slot, true);
      } else {
        prepared(slot, null);
      }
    }

    private void retry(VoteResponse last) {
      if (last != null && last.code == VoteResponse.BALLOT_TOO_LOW && outbidAttempts++ == 0) {
        retryNow();
      } else {
        retryAfterBackoff();
      }
    }

    private void chooseValue() {
      VoteResponse highest = null;
      List<byte[]> sideEffects = new ArrayList<>();
      for (VoteResponse response : promises) {
        if (response == null) {
          continue;
        }
        if (highest == null || Ballots.compare(response.accepted, highest.accepted) > 0) {
          highest = response;
        }
        if (response.sideEffect != null) {
          sideEffects.add(response.sideEffect);
        }
      }
      ProposedValue proposed = propose(new ObservedState(highest.value, sideEffects));
      if (isDone()) {
        return;
      }
      if (proposed.value() != null) {
        accept(proposed.value(), true, proposed.blobs());
      } else if (Ballots.isNone(highest.accepted) || isAcceptedByMajority(highest.accepted)) {
        complete(new CommittedState(new VersionedValue(highest.accepted, highest.value), false));
      } else {
        accept(highest.value, false, List.of());
      }
    }

    private boolean isAcceptedByMajority(Ballot accepted) {
      int same = 0;
      for (VoteResponse response : promises) {
        if (response != null
            && !response.fromStateTransfer
            && Ballots.areEqual(response.accepted, accepted)) {
          same++;
        }
      }
      return same >= majority;
    }

    /** Second round. What was prepared with blobs is taken only where these are kept as well. */
    void accept(byte[] value, boolean isChange, List<Blob> extraBlobs) {
      accepting = true;
      acceptSent = true;
      this.isChange = isChange;
      acknowledgements = 0;
      refusals = VoterSets.uncountedSlots(voterSet);
      accept = new AcceptRequest();
      accept.set = client.set();
      accept.key = key;
      accept.ballot = ballot;
      accept.voterSet = voterSet;
      accept.value = value;
      if (promiseAhead) {
        accept.nextBallot = client.nextBallotAfter(ballot);
      }
      acceptBlobs = extraBlobs == null ? List.of() : extraBlobs;
      for (int i = 0; i < voters; i++) {
        if (promises[i] != null) {
          sendAccept(i, true);
        } else if (blobs.isEmpty() || responded[i] || !prepared) {
          sendAccept(i, false);
        }
      }
    }

    private void sendAccept(int slot, boolean blobsDelivered) {
      if (acceptSentTo[slot]) {
        return;
      }
      acceptSentTo[slot] = true;
      AcceptRequest request = accept;
      List<Blob> sent = acceptBlobs;
      if (!blobsDelivered && !blobs.isEmpty()) {
        sent = new ArrayList<>(blobs);
        sent.addAll(acceptBlobs);
      }
      if (!sent.isEmpty()) {
        request = new AcceptRequest();
        request.set = accept.set;
        request.key = accept.key;
        request.ballot = accept.ballot;
        request.nextBallot = accept.nextBallot;
        request.value = accept.value;
        request.voterSet = accept.voterSet;
        request.blobs = sent;
      }
      Voter voter = voterSet.voters.get(slot);
      client
          .rpcClient
          .call(voter.address, request, VoteResponse.class, callTimeoutMs())
          .whenComplete((response, failure) -> onAcceptResponse(response));
    }

    private void onAcceptResponse(VoteResponse response) {
      boolean granted = response != null && response.code == VoteResponse.OK;
      if (response != null) {
        client.observe(response.promised);
      }
      if (granted
          && !Ballots.isNone(accept.nextBallot)
          && Ballots.areEqual(response.promised, accept.nextBallot)) {
        nextBallotPromises++;
      }
      if (!isCurrent(attemptNumber)) {
        learnFromLateResponse(response);
        return;
      }
      if (granted) {
        if (++acknowledgements >= majority) {
          Ballot next = nextBallotPromises >= majority ? accept.nextBallot : null;
          client.cachePromise(
              key, new RegisterClient.CachedPromise(next, ballot, accept.value, voterSet));
          complete(new CommittedState(new VersionedValue(ballot, accept.value), isChange));
        }
        return;
      }
      if (retryUnderNewerVoterSet(voterSet, response)) {
        return;
      }
      refusals++;
      if (response != null && response.code == VoteResponse.NOT_ADMITTED) {
        notAdmitted++;
      }
      if (refusals <= voters - majority) {
        return;
      }
      if (notAdmitted > 0 && admissionRefusals++ >= MAX_ADMISSION_REFUSALS) {
        fail(RegisterClient.failure(ErrorCode.OUTCOME_UNKNOWN, client.set(), key));
      } else {
        retry(response);
      }
    }
  }
}
