package elmsail.consensus;

import elmsail.rpc.RequestHandlers;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.PrepareRequest;
import elmsail.rpc.messages.RelayedPrepareRequest;
import elmsail.rpc.messages.RelayedPrepareResponse;
import elmsail.rpc.messages.VoteResponse;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import java.util.concurrent.CompletableFuture;

/**
 * A voter's passing on of first rounds that carry large blobs. It adds nothing to a round and
 * decides nothing: each voter is asked as if by the proposer itself, and the proposer gets each
 * voter's own answer. The answer to the proposer leaves once all voters have answered, or a little
 * after a majority promised, so that one slow voter does not hold the round up; what is on its way
 * to that voter goes on.
 */
final class PrepareRelay {
  /** How long voters beyond a majority are waited for. */
  private static final long GRACE_MS = 30;

  /** Bytes of blobs that are being passed on at a time, at most. */
  private static final long MAX_BYTES_IN_FLIGHT = 32L << 20;

  private final RpcClient rpcClient;
  private final Timers timers;
  private long bytesInFlight;

  PrepareRelay(RpcClient rpcClient, Timers timers) {
    this.rpcClient = rpcClient;
    this.timers = timers;
  }

  void register(RequestHandlers handlers) {
    handlers.register(RelayedPrepareRequest.class, this::relay);
  }

  private CompletableFuture<RelayedPrepareResponse> relay(RelayedPrepareRequest request) {
    RelayedPrepare round = new RelayedPrepare(request.prepare);
    if (bytesInFlight > 0 && bytesInFlight + round.bytes > MAX_BYTES_IN_FLIGHT) {
      return CompletableFuture.failedFuture(
          new ElmsailException(
              ErrorCode.RESOURCE_EXHAUSTED, "too many first rounds are being relayed"));
    }
    round.start(Math.max(1, Math.min(request.timeoutMs, RegisterClient.CALL_TIMEOUT_MS)));
    return round.response;
  }

  /** One first round on its way to the voters. */
  private final class RelayedPrepare {
    private final PrepareRequest prepare;
    private final VoterSet voterSet;
    private final long bytes;
    private final int majority;
    private final RelayedPrepareResponse votes = new RelayedPrepareResponse();
    private final CompletableFuture<RelayedPrepareResponse> response = new CompletableFuture<>();
    private int pending;
    private int promises;
    private int refusals;

    RelayedPrepare(PrepareRequest prepare) {
      this.prepare = prepare;
      voterSet = prepare.voterSet;
      majority = VoterSets.majoritySize(voterSet.voters.size());
      refusals = VoterSets.uncountedSlots(voterSet);
      bytes = RelaySelector.totalBytes(prepare.blobs) * voterSet.voters.size();
    }

    void start(long timeoutMs) {
      PrepareRelay.this.bytesInFlight += bytes;
      for (int slot = 0; slot < voterSet.voters.size(); slot++) {
        if (VoterSets.isCounted(voterSet, slot)) {
          pending++;
          send(slot, timeoutMs);
        }
      }
      if (pending == 0) {
        PrepareRelay.this.bytesInFlight -= bytes;
        respond();
      }
    }

    private void send(int slot, long timeoutMs) {
      rpcClient
          .call(voterSet.voters.get(slot).address, prepare, VoteResponse.class, timeoutMs)
          .whenComplete((vote, failure) -> onVote(slot, vote));
    }

    private void onVote(int slot, VoteResponse vote) {
      pending--;
      if (pending == 0) {
        PrepareRelay.this.bytesInFlight -= bytes;
      }
      if (response.isDone()) {
        return;
      }
      if (vote != null) {
        votes.slots.add(slot);
        votes.votes.add(vote);
      }
      boolean promised = vote != null && vote.code == VoteResponse.OK;
      promises += promised ? 1 : 0;
      refusals += promised ? 0 : 1;
      if (pending == 0 || refusals > voterSet.voters.size() - majority) {
        respond();
      } else if (promised && promises == majority) {
        timers.schedule(GRACE_MS, this::respond);
      }
    }

    private void respond() {
      response.complete(votes);
    }
  }
}
