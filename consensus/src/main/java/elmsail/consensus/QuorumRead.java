package elmsail.consensus;

import elmsail.consensus.Register.CommittedState;
import elmsail.consensus.Register.ProposedValue;
import elmsail.consensus.Register.VersionedValue;
import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.ReadRequest;
import elmsail.rpc.messages.VoteResponse;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * One read: decided at once where a majority took the same ballot last, or none took any; otherwise
 * what was found is finished by a change that changes nothing. Only the nearest voter slot is asked
 * for the value.
 */
final class QuorumRead extends QuorumOperation<VersionedValue> {
  private static final long DISAGREEMENT_GRACE_MS = 15;
  private final Ballot knownBallot;

  /** The highest ballot that some voters had accepted when an attempt saw no majority agree. */
  private Ballot undecidedBallot = new Ballot();

  QuorumRead(RegisterClient client, String key, Ballot knownBallot, long timeoutMs) {
    super(client, key, timeoutMs);
    this.knownBallot = knownBallot;
  }

  @Override
  ErrorCode timeoutErrorCode() {
    return ErrorCode.NO_QUORUM;
  }

  @Override
  void attempt(VoterSet voterSet) {
    new Attempt(voterSet).request();
  }

  private void repair() {
    int number = attemptNumber();
    CompletableFuture<CommittedState> finished =
        client.change(
            key,
            observed -> new ProposedValue(null, List.of()),
            List.of(),
            null,
            Math.max(1, remainingMs()));
    finished.whenComplete(
        (committed, failure) -> {
          if (!isCurrent(number)) {
            return;
          }
          if (committed != null) {
            completeWith(committed.current().ballot(), committed.current().value());
          } else {
            fail(new ElmsailException(ErrorCode.NO_QUORUM, client.set() + " " + key, failure));
          }
        });
  }

  private void completeWith(Ballot ballot, byte[] value) {
    boolean omitValue = !Ballots.isNone(knownBallot) && Ballots.areEqual(ballot, knownBallot);
    complete(new VersionedValue(ballot, omitValue ? null : value));
  }

  private final class Attempt {
    private final int attemptNumber = attemptNumber();
    private final VoterSet voterSet;
    private final int voters;
    private final int majority;
    private final VoteResponse[] responses;
    private int answered;
    private int refusals;
    private boolean concluded;

    Attempt(VoterSet voterSet) {
      this.voterSet = voterSet;
      voters = voterSet.voters.size();
      majority = VoterSets.majoritySize(voters);
      responses = new VoteResponse[voters];
      refusals = VoterSets.uncountedSlots(voterSet);
    }

    void request() {
      int[] order = client.slotsNearestFirst(voterSet);
      for (int at = 0; at < voters; at++) {
        int slot = order[at];
        if (!VoterSets.isCounted(voterSet, slot)) {
          continue;
        }
        client
            .rpcClient
            .call(
                voterSet.voters.get(slot).address,
                request(at > 0),
                VoteResponse.class,
                callTimeoutMs())
            .whenComplete((vote, failure) -> answered(slot, vote));
      }
    }

    private ReadRequest request(boolean ballotOnly) {
      ReadRequest request = new ReadRequest();
      request.set = client.set();
      request.key = key;
      request.knownBallot = knownBallot;
      request.voterSet = voterSet;
      request.ballotOnly = ballotOnly;
      return request;
    }

    private void answered(int slot, VoteResponse vote) {
      if (!isCurrent(attemptNumber)) {
        learnFromLateResponse(vote);
        return;
      }
      if (concluded || retryUnderNewerVoterSet(voterSet, vote)) {
        return;
      }
      if (vote == null || vote.code != VoteResponse.OK) {
        if (++refusals > voters - majority) {
          retryAfterBackoff();
        }
        return;
      }
      client.observe(vote.promised);
      responses[slot] = vote;
      answered++;
      if (isAcceptedByMajority(vote.accepted)) {
        concluded = true;
        completeAt(vote.accepted);
      } else if (answered + refusals == voters) {
        onDisagreement();
      } else if (answered >= majority) {
        scheduleDisagreement();
      }
    }

    /** Gives the last ones a moment: an accept may be on its way to those that answered first. */
    private void scheduleDisagreement() {
      client.timers.schedule(
          DISAGREEMENT_GRACE_MS,
          () -> {
            if (isCurrent(attemptNumber) && !concluded) {
              onDisagreement();
            }
          });
    }

    /**
     * Finishes only what an earlier attempt had found unfinished as well: its writer is most likely
     * still at it, and a finish would outbid it. Many readers would keep all writers from success.
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

    private Ballot highestAccepted() {
      Ballot highest = new Ballot();
      for (VoteResponse vote : responses) {
        highest = vote == null ? highest : Ballots.max(highest, vote.accepted);
      }
      return highest;
    }

    private boolean isAcceptedByMajority(Ballot accepted) {
      int same = 0;
      for (VoteResponse vote : responses) {
        if (vote != null
            && Ballots.areEqual(vote.accepted, accepted)
            && (!vote.fromStateTransfer || Ballots.isNone(accepted))) {
          same++;
        }
      }
      return same >= majority;
    }

    private void completeAt(Ballot accepted) {
      if (Ballots.isNone(accepted) || Ballots.areEqual(accepted, knownBallot)) {
        completeWith(accepted, null);
        return;
      }
      int acceptedSlot = -1;
      for (int i = 0; i < voters; i++) {
        if (responses[i] != null && Ballots.areEqual(responses[i].accepted, accepted)) {
          if (responses[i].value != null) {
            completeWith(accepted, responses[i].value);
            return;
          }
          acceptedSlot = i;
        }
      }
      client
          .rpcClient
          .call(
              voterSet.voters.get(acceptedSlot).address,
              request(false),
              VoteResponse.class,
              callTimeoutMs())
          .whenComplete(
              (vote, failure) -> {
                if (!isCurrent(attemptNumber)) {
                  return;
                }
                boolean same =
                    vote != null
                        && vote.code == VoteResponse.OK
                        && Ballots.areEqual(vote.accepted, accepted)
                        && vote.value != null;
                if (same) {
                  completeWith(accepted, vote.value);
                } else {
                  retryNow();
                }
              });
    }
  }
}
