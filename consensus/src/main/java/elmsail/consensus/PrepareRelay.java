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
 * Relays prepare requests that carry large blobs. A voter sends such a request to all voters on
 * behalf of a proposer, so that the blobs cross the proposer's link only once. The relay makes no
 * decisions: it sends the proposer's request unchanged, and returns each voter's response
 * unchanged.
 *
 * <p>The relay responds to the proposer when all voters have responded, or {@link #GRACE_MS} after
 * a majority promised, so that one slow voter doesn't delay the response. The request to the slow
 * voter is not cancelled. Runs on the replica's event loop.
 */
final class PrepareRelay {
  /** How long to wait for more voters once a majority has promised. */
  private static final long GRACE_MS = 30;

  /** Limit on the bytes of blobs in flight; a single prepare request may exceed the limit. */
  private static final long MAX_BYTES_IN_FLIGHT = 32L << 20;

  private final RpcClient rpcClient;
  private final Timers timers;
  private long bytesInFlight;

  PrepareRelay(RpcClient rpcClient, Timers timers) {
    this.rpcClient = rpcClient;
    this.timers = timers;
  }

  /** Registers the handler of relayed prepare requests. */
  void register(RequestHandlers handlers) {
    handlers.register(RelayedPrepareRequest.class, this::relay);
  }

  private CompletableFuture<RelayedPrepareResponse> relay(RelayedPrepareRequest request) {
    RelayedPrepare relayed = new RelayedPrepare(request.prepare);
    if (bytesInFlight > 0 && bytesInFlight + relayed.bytes > MAX_BYTES_IN_FLIGHT) {
      return CompletableFuture.failedFuture(
          new ElmsailException(
              ErrorCode.RESOURCE_EXHAUSTED,
              "relay of prepares: "
                  + bytesInFlight
                  + " bytes in flight, limit "
                  + MAX_BYTES_IN_FLIGHT));
    }
    relayed.start(Math.max(1, Math.min(request.timeoutMs, RegisterClient.CALL_TIMEOUT_MS)));
    return relayed.response;
  }

  /** One prepare request that is being relayed. */
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
