package elmsail.consensus;

import elmsail.consensus.Register.ProposedValue;
import elmsail.consensus.Register.VersionedValue;
import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.ReadRequest;
import elmsail.rpc.messages.VoteResponse;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ErrorCode;
import java.util.List;

/**
 * One read of a key. It is decided in one round trip if a majority accepted the same ballot last,
 * or nothing at all. Otherwise the value found is committed first, by a change that changes nothing
 * (read repair). Only the nearest voter is asked for the value, the others for their ballots.
 */
final class QuorumRead extends QuorumOperation<VersionedValue> {
  /** How long to wait for the remaining voters once a majority has responded without agreement. */
  private static final long DISAGREEMENT_GRACE_MS = 15;

  private final Ballot knownBallot;

  /** The highest accepted ballot that the latest attempt without agreement saw; round 0: none. */
  private Ballot undecidedBallot = new Ballot();

  /**
   * @param knownBallot the value of this ballot is not read again; round 0 for none
   */
  QuorumRead(RegisterClient client, String key, Ballot knownBallot, long timeoutMs) {
    super(client, key, timeoutMs);
    this.knownBallot = knownBallot;
  }

  @Override
  ErrorCode timeoutErrorCode() {
    return ErrorCode.NO_QUORUM;
  }

  @Override
  void startAttempt(VoterSet voterSet) {
    new ReadAttempt(voterSet).send();
  }

  private void completeWith(Ballot ballot, byte[] value) {
    boolean omitValue = !Ballots.isNone(knownBallot) && Ballots.areEqual(ballot, knownBallot);
    complete(new VersionedValue(ballot, omitValue ? null : value));
  }

  private ReadRequest newRequest(VoterSet voterSet, boolean ballotOnly) {
    ReadRequest request = new ReadRequest();
    request.set = client.set();
    request.key = key;
    request.knownBallot = knownBallot;
    request.voterSet = voterSet;
    request.ballotOnly = ballotOnly;
    return request;
  }

  /** One query of all voters. */
  private final class ReadAttempt extends Attempt {
    private final VoteResponse[] votes;
    private int voteCount;
    private int refusals;

    /** Whether the votes were evaluated for good: agreement was found, or given up. */
    private boolean concluded;

    ReadAttempt(VoterSet voterSet) {
      super(voterSet);
      votes = new VoteResponse[voters];
      refusals = VoterSets.uncountedSlots(voterSet);
    }

    void send() {
      int[] nearestFirst = client.slotsNearestFirst(voterSet);
      for (int i = 0; i < voters; i++) {
        int slot = nearestFirst[i];
        if (!VoterSets.isCounted(voterSet, slot)) {
          continue;
        }
        call(slot, newRequest(voterSet, i > 0), VoteResponse.class)
            .whenComplete((vote, failure) -> onVote(slot, vote));
      }
    }

    private void onVote(int slot, VoteResponse vote) {
      if (!isCurrent()) {
        learnFromLateResponse(vote);
        return;
      }
      if (concluded || retryUnderNewerVoterSet(vote)) {
        return;
      }
      if (vote == null || vote.code != VoteResponse.OK) {
        if (++refusals > voters - majority) {
          retryAfterBackoff();
        }
        return;
      }
      client.observe(vote.promised);
      votes[slot] = vote;
      voteCount++;
      if (isAcceptedByMajority(vote.accepted)) {
        concluded = true;
        completeAt(vote.accepted);
      } else if (voteCount + refusals == voters) {
        onDisagreement();
      } else if (voteCount >= majority) {
        scheduleDisagreement();
      }
    }

    /** Gives the remaining voters a moment: an accept may be on its way to the first ones. */
    private void scheduleDisagreement() {
      client.timers.schedule(
          DISAGREEMENT_GRACE_MS,
          () -> {
            if (isCurrent() && !concluded) {
              onDisagreement();
            }
          });
    }

    /**
     * Repairs only what an earlier attempt found undecided as well. Its proposer is most likely
     * still at work, and a repair would outbid it: many readers would keep all proposers from
     * success.
     */
    private void onDisagreement() {
      concluded = true;
      Ballot highest = highestAccepted();
      if (Ballots.areEqual(highest, undecidedBallot)) {
        repair();
      } else {
        undecidedBallot = highest;
        retryAfterBackoff();
      }
    }

    private void repair() {
      client
          .change(
              key,
              observed -> new ProposedValue(null, List.of()),
              List.of(),
              null,
              Math.max(1, remainingMs()))
          .whenComplete(
              (committed, failure) -> {
                if (!isCurrent()) {
                  return;
                }
                if (committed != null) {
                  completeWith(committed.current().ballot(), committed.current().value());
                } else {
                  fail(failure(ErrorCode.NO_QUORUM, failure));
                }
              });
    }

    private Ballot highestAccepted() {
      Ballot highest = new Ballot();
      for (VoteResponse vote : votes) {
        highest = vote == null ? highest : Ballots.max(highest, vote.accepted);
      }
      return highest;
    }

    /** Transferred values are no votes, but that nothing was accepted is certain anyway. */
    private boolean isAcceptedByMajority(Ballot accepted) {
      int same = 0;
      for (VoteResponse vote : votes) {
        if (vote != null
            && Ballots.areEqual(vote.accepted, accepted)
            && (!vote.fromStateTransfer || Ballots.isNone(accepted))) {
          same++;
        }
      }
      return same >= majority;
    }

    /** Completes with the value of the ballot, read from a voter that has it if need be. */
    private void completeAt(Ballot accepted) {
      if (Ballots.isNone(accepted) || Ballots.areEqual(accepted, knownBallot)) {
        completeWith(accepted, null);
        return;
      }
      int acceptedSlot = -1;
      for (int slot = 0; slot < voters; slot++) {
        VoteResponse vote = votes[slot];
        if (vote != null && Ballots.areEqual(vote.accepted, accepted)) {
          if (vote.value != null) {
            completeWith(accepted, vote.value);
            return;
          }
          acceptedSlot = slot;
        }
      }
      call(acceptedSlot, newRequest(voterSet, false), VoteResponse.class)
          .whenComplete((vote, failure) -> onValue(accepted, vote));
    }

    private void onValue(Ballot accepted, VoteResponse vote) {
      if (!isCurrent()) {
        return;
      }
      boolean hasValue =
          vote != null
              && vote.code == VoteResponse.OK
              && Ballots.areEqual(vote.accepted, accepted)
              && vote.value != null;
      if (hasValue) {
        completeWith(accepted, vote.value);
      } else {
        retryNow();
      }
    }
  }
}
