package elmsail.consensus;

import elmsail.consensus.Register.Held;
import elmsail.consensus.Register.Versioned;
import elmsail.consensus.Register.Wanted;
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
final class QuorumRead extends QuorumOperation<Versioned> {
  private static final long FINISH_AFTER_MS = 15;
  private final Ballot known;

  /** The highest ballot that some voters had accepted when an attempt saw no majority agree. */
  private Ballot unfinished = new Ballot();

  QuorumRead(RegisterClient client, String key, Ballot known, long timeoutMs) {
    super(client, key, timeoutMs);
    this.known = known;
  }

  @Override
  ErrorCode codeIfOver() {
    return ErrorCode.NO_QUORUM;
  }

  @Override
  void attempt(VoterSet voterSet) {
    new Attempt(voterSet).request();
  }

  private void finish() {
    int number = number();
    CompletableFuture<Held> finished =
        client.change(
            key, found -> new Wanted(null, List.of()), List.of(), null, Math.max(1, leftMs()));
    finished.whenComplete(
        (held, failure) -> {
          if (!current(number)) {
            return;
          }
          if (held != null) {
            tell(held.now().ballot(), held.now().value());
          } else {
            failed(new ElmsailException(ErrorCode.NO_QUORUM, client.set() + " " + key, failure));
          }
        });
  }

  private void tell(Ballot ballot, byte[] value) {
    boolean spared = !Ballots.none(known) && Ballots.same(ballot, known);
    done(new Versioned(ballot, spared ? null : value));
  }

  private final class Attempt {
    private final int number = number();
    private final VoterSet voterSet;
    private final int voters;
    private final int majority;
    private final VoteResponse[] response;
    private int answered;
    private int refused;
    private boolean settled;

    Attempt(VoterSet voterSet) {
      this.voterSet = voterSet;
      voters = voterSet.voters.size();
      majority = VoterSets.majority(voters);
      response = new VoteResponse[voters];
      refused = VoterSets.vacant(voterSet);
    }

    void request() {
      int[] order = client.nearestFirst(voterSet);
      for (int at = 0; at < voters; at++) {
        int slot = order[at];
        if (!VoterSets.counts(voterSet, slot)) {
          continue;
        }
        client
            .caller
            .call(voterSet.voters.get(slot).address, request(at > 0), VoteResponse.class, callMs())
            .whenComplete((vote, failure) -> answered(slot, vote));
      }
    }

    private ReadRequest request(boolean bare) {
      ReadRequest request = new ReadRequest();
      request.set = client.set();
      request.key = key;
      request.knownBallot = known;
      request.voterSet = voterSet;
      request.ballotOnly = bare;
      return request;
    }

    private void answered(int slot, VoteResponse vote) {
      if (!current(number)) {
        late(vote);
        return;
      }
      if (settled || renewed(voterSet, vote)) {
        return;
      }
      if (vote == null || vote.code != VoteResponse.OK) {
        if (++refused > voters - majority) {
          backOff();
        }
        return;
      }
      client.seen(vote.promised);
      response[slot] = vote;
      answered++;
      if (agreed(vote.accepted)) {
        settled = true;
        settle(vote.accepted);
      } else if (answered + refused == voters) {
        disagreed();
      } else if (answered >= majority) {
        finishSoon();
      }
    }

    /** Gives the last ones a moment: an accept may be on its way to those that answered first. */
    private void finishSoon() {
      client.timers.schedule(
          FINISH_AFTER_MS,
          () -> {
            if (current(number) && !settled) {
              disagreed();
            }
          });
    }

    /**
     * Finishes only what an earlier attempt had found unfinished as well: its writer is most likely
     * still at it, and a finish would outbid it. Many readers would keep all writers from success.
     */
    private void disagreed() {
      settled = true;
      Ballot highest = highestAccepted();
      if (Ballots.same(highest, unfinished)) {
        finish();
      } else {
        unfinished = highest;
        backOff();
      }
    }

    private Ballot highestAccepted() {
      Ballot highest = new Ballot();
      for (VoteResponse one : response) {
        highest = one == null ? highest : Ballots.higher(highest, one.accepted);
      }
      return highest;
    }

    private boolean agreed(Ballot accepted) {
      int same = 0;
      for (VoteResponse one : response) {
        if (one != null
            && Ballots.same(one.accepted, accepted)
            && (!one.fromStateTransfer || Ballots.none(accepted))) {
          same++;
        }
      }
      return same >= majority;
    }

    private void settle(Ballot accepted) {
      if (Ballots.none(accepted) || Ballots.same(accepted, known)) {
        tell(accepted, null);
        return;
      }
      int holder = -1;
      for (int i = 0; i < voters; i++) {
        if (response[i] != null && Ballots.same(response[i].accepted, accepted)) {
          if (response[i].value != null) {
            tell(accepted, response[i].value);
            return;
          }
          holder = i;
        }
      }
      client
          .caller
          .call(voterSet.voters.get(holder).address, request(false), VoteResponse.class, callMs())
          .whenComplete(
              (vote, failure) -> {
                if (!current(number)) {
                  return;
                }
                boolean same =
                    vote != null
                        && vote.code == VoteResponse.OK
                        && Ballots.same(vote.accepted, accepted)
                        && vote.value != null;
                if (same) {
                  tell(accepted, vote.value);
                } else {
                  again();
                }
              });
    }
  }
}
