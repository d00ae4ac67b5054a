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
 * One read of a key. The read completes in one round trip if a majority accepted the same ballot
 * last, or accepted nothing at all. Otherwise the value that was found is committed first, by a
 * change that keeps the value (read repair). Only the nearest voter is requested to send the value;
 * the others send their ballots alone.
 */
final class QuorumRead extends QuorumOperation<VersionedValue> {
  /** How long to wait for the remaining voters after a majority responded without agreement. */
  private static final long DISAGREEMENT_GRACE_MS = 15;

  private final Ballot knownBallot;

  /** The highest accepted ballot found by the latest attempt without agreement; round 0: none. */
  private Ballot undecidedBallot = new Ballot();

  /**
   * @param knownBallot the ballot whose value the caller has, which is not read again; round 0 for
   *     none
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

    /** Whether the evaluation of the votes ended: with agreement, or without. */
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

    /**
     * Waits for the remaining voters for {@link #DISAGREEMENT_GRACE_MS}: when the first voters
     * responded, an accept request may have been in flight to them.
     */
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
     * Repairs a ballot only if the attempt before found the same ballot undecided. Otherwise the
     * ballot's proposer is most likely still active, and a repair would preempt it with a higher
     * ballot: many concurrent readers would then prevent all proposers from committing.
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

    /**
     * Whether a majority accepted this ballot last. A transferred value is not a vote. A voter
     * without an accepted ballot counts in any case, as it certainly accepted nothing.
     */
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

    /**
     * Completes with the value of the ballot. If no vote has it, it was not requested from these
     * voters or is absent, and one of them is asked again.
     */
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
      boolean isUnchanged =
          vote != null && vote.code == VoteResponse.OK && Ballots.areEqual(vote.accepted, accepted);
      if (isUnchanged) {
        completeWith(accepted, vote.value);
      } else {
        retryNow();
      }
    }
  }
}
