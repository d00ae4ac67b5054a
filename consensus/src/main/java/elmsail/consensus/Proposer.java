package elmsail.consensus;

import elmsail.consensus.Register.Found;
import elmsail.consensus.Register.Held;
import elmsail.consensus.Register.Versioned;
import elmsail.consensus.Register.Wanted;
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
final class Proposer extends QuorumOperation<Held> {
  private static final int MOST_NOT_ADMITTED = 2;

  private final Function<Found, Wanted> change;
  private final List<Blob> blobs;
  private final byte[] note;
  private boolean acceptSent;
  private int notAdmitted;
  private int outbid;

  Proposer(
      RegisterClient client,
      String key,
      Function<Found, Wanted> change,
      List<Blob> blobs,
      byte[] note,
      long timeoutMs) {
    super(client, key, timeoutMs);
    this.change = change;
    this.blobs = blobs;
    this.note = note;
  }

  @Override
  ErrorCode codeIfOver() {
    return acceptSent ? ErrorCode.OUTCOME_UNKNOWN : ErrorCode.NO_QUORUM;
  }

  @Override
  void attempt(VoterSet voterSet) {
    RegisterClient.Kept kept = note == null ? client.takeKept(key) : null;
    if (kept != null && kept.next() != null && VoterSets.same(kept.voterSet(), voterSet)) {
      Wanted wanted = wanted(new Found(kept.value(), List.of()));
      if (over()) {
        return;
      }
      if (wanted.value() != null) {
        new Attempt(voterSet, kept.next(), true).accept(wanted.value(), true, wanted.blobs());
        return;
      }
      // What was kept may be old: a change is declined only on what a majority tells.
      client.keep(key, new RegisterClient.Kept(null, new Ballot(), null, voterSet));
    }
    new Attempt(voterSet, client.nextBallot(), kept != null).prepare();
  }

  private Wanted wanted(Found found) {
    try {
      return change.apply(found);
    } catch (RuntimeException e) {
      failed(e);
      return null;
    }
  }

  /** One ballot: both its rounds are under one voter set. */
  private final class Attempt {
    private final int number = number();
    private final VoterSet voterSet;
    private final int voters;
    private final int majority;
    private final Ballot ballot;

    /** Whether this client changed the key before, so that it may well do so again. */
    private final boolean repeated;

    private final VoteResponse[] promises;
    private final boolean[] answered;
    private final boolean[] acceptSentTo;
    private boolean prepared;
    private boolean accepting;
    private AcceptRequest accept;
    private List<Blob> acceptBlobs = List.of();
    private boolean changed;
    private int done;
    private int refused;
    private int refusedAdmission;
    private int promisedNext;

    Attempt(VoterSet voterSet, Ballot ballot, boolean repeated) {
      this.voterSet = voterSet;
      this.ballot = ballot;
      this.repeated = repeated;
      voters = voterSet.voters.size();
      majority = VoterSets.majority(voters);
      promises = new VoteResponse[voters];
      answered = new boolean[voters];
      acceptSentTo = new boolean[voters];
      for (int i = 0; i < voters; i++) {
        acceptSentTo[i] = !VoterSets.counts(voterSet, i);
      }
      refused = VoterSets.vacant(voterSet);
    }

    void prepare() {
      prepared = true;
      PrepareRequest request = new PrepareRequest();
      request.set = client.set();
      request.key = key;
      request.ballot = ballot;
      request.voterSet = voterSet;
      request.blobs = blobs;
      request.sideEffect = note;
      new PrepareRound(
              client,
              voterSet,
              request,
              callMs(),
              Math.max(1, leftMs()),
              () -> current(number) && !accepting,
              new PrepareRound.VoteListener() {
                @Override
                public void voted(int slot, VoteResponse vote) {
                  prepared(slot, vote);
                }

                @Override
                public void underWay(int slot) {
                  preparing(slot);
                }
              })
          .send();
    }

    private void prepared(int slot, VoteResponse response) {
      answered[slot] = true;
      boolean yes = response != null && response.code == VoteResponse.OK;
      if (response != null) {
        client.seen(response.promised);
        client.seen(response.accepted);
      }
      if (accepting && number == number()) {
        // It is behind the majority's promises: its accept waited for this, so as not to send blobs
        // twice.
        sendAccept(slot, yes);
        return;
      }
      if (!current(number)) {
        late(response);
        return;
      }
      if (accepting || renewed(voterSet, response)) {
        return;
      }
      if (yes) {
        promises[slot] = response;
        if (++done >= majority) {
          choose();
        }
      } else if (++refused > voters - majority) {
        retry(response);
      }
    }

    /** The blobs are on their way to it: its accept needn't bring them. */
    private void preparing(int slot) {
      if (accepting && number == number()) {
        answered[slot] = true;
        sendAccept(slot, true);
      } else {
        prepared(slot, null);
      }
    }

    private void retry(VoteResponse last) {
      if (last != null && last.code == VoteResponse.BALLOT_TOO_LOW && outbid++ == 0) {
        again();
      } else {
        backOff();
      }
    }

    private void choose() {
      VoteResponse highest = null;
      List<byte[]> notes = new ArrayList<>();
      for (VoteResponse response : promises) {
        if (response == null) {
          continue;
        }
        if (highest == null || Ballots.compare(response.accepted, highest.accepted) > 0) {
          highest = response;
        }
        if (response.sideEffect != null) {
          notes.add(response.sideEffect);
        }
      }
      Wanted wanted = wanted(new Found(highest.value, notes));
      if (over()) {
        return;
      }
      if (wanted.value() != null) {
        accept(wanted.value(), true, wanted.blobs());
      } else if (Ballots.none(highest.accepted) || takenByMajority(highest.accepted)) {
        done(new Held(new Versioned(highest.accepted, highest.value), false));
      } else {
        accept(highest.value, false, List.of());
      }
    }

    private boolean takenByMajority(Ballot accepted) {
      int same = 0;
      for (VoteResponse response : promises) {
        if (response != null && !response.fromStateTransfer && Ballots.same(response.accepted, accepted)) {
          same++;
        }
      }
      return same >= majority;
    }

    /** Second round. What was prepared with blobs is taken only where these are kept as well. */
    void accept(byte[] value, boolean changing, List<Blob> more) {
      accepting = true;
      acceptSent = true;
      changed = changing;
      done = 0;
      refused = VoterSets.vacant(voterSet);
      accept = new AcceptRequest();
      accept.set = client.set();
      accept.key = key;
      accept.ballot = ballot;
      accept.voterSet = voterSet;
      accept.value = value;
      if (repeated) {
        accept.nextBallot = client.promiseAfter(ballot);
      }
      acceptBlobs = more == null ? List.of() : more;
      for (int i = 0; i < voters; i++) {
        if (promises[i] != null) {
          sendAccept(i, true);
        } else if (blobs.isEmpty() || answered[i] || !prepared) {
          sendAccept(i, false);
        }
      }
    }

    private void sendAccept(int slot, boolean hasBlobs) {
      if (acceptSentTo[slot]) {
        return;
      }
      acceptSentTo[slot] = true;
      AcceptRequest request = accept;
      List<Blob> sent = acceptBlobs;
      if (!hasBlobs && !blobs.isEmpty()) {
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
      Voter to = voterSet.voters.get(slot);
      client
          .caller
          .call(to.address, request, VoteResponse.class, callMs())
          .whenComplete((response, failure) -> accepted(response));
    }

    private void accepted(VoteResponse response) {
      boolean yes = response != null && response.code == VoteResponse.OK;
      if (response != null) {
        client.seen(response.promised);
      }
      if (yes && !Ballots.none(accept.nextBallot) && Ballots.same(response.promised, accept.nextBallot)) {
        promisedNext++;
      }
      if (!current(number)) {
        late(response);
        return;
      }
      if (yes) {
        if (++done >= majority) {
          Ballot next = promisedNext >= majority ? accept.nextBallot : null;
          client.keep(key, new RegisterClient.Kept(next, ballot, accept.value, voterSet));
          done(new Held(new Versioned(ballot, accept.value), changed));
        }
        return;
      }
      if (renewed(voterSet, response)) {
        return;
      }
      refused++;
      if (response != null && response.code == VoteResponse.NOT_ADMITTED) {
        refusedAdmission++;
      }
      if (refused <= voters - majority) {
        return;
      }
      if (refusedAdmission > 0 && notAdmitted++ >= MOST_NOT_ADMITTED) {
        failed(RegisterClient.failure(ErrorCode.OUTCOME_UNKNOWN, client.set(), key));
      } else {
        retry(response);
      }
    }
  }
}
