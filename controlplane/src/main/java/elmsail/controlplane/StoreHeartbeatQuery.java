package elmsail.controlplane;

import elmsail.consensus.VoterSets;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.OpaqueMessage;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Queries the other control-plane voters for the stores whose heartbeats they have received. A
 * final rejection then rests on a majority and not on this node alone, which may be partitioned
 * from a store that all other voters see. Runs on the event loop.
 */
final class StoreHeartbeatQuery {
  private static final long CALL_TIMEOUT_MS = 300;

  private final RpcClient rpcClient;
  private final Supplier<VoterSet> voters;
  private final String localAddress;
  private Supplier<StoreHeartbeats> localHeartbeats = () -> new StoreHeartbeats(false, Map.of());

  StoreHeartbeatQuery(RpcClient rpcClient, Supplier<VoterSet> voters, String localAddress) {
    this.rpcClient = rpcClient;
    this.voters = voters;
    this.localAddress = localAddress;
  }

  /** Sets the source of this node's own heartbeats, which is read at each query. */
  void setLocalHeartbeats(Supplier<StoreHeartbeats> localHeartbeats) {
    this.localHeartbeats = localHeartbeats;
  }

  /** The response to another node's query. */
  OpaqueMessage respond() {
    OpaqueMessage response = PeerNotifier.message(PeerMessageKind.STORE_HEARTBEATS);
    response.bytes = localHeartbeats.get().encode();
    return response;
  }

  /**
   * The heartbeats that a majority has received, this node included. Fails with NO_QUORUM unless a
   * majority has been observing for long enough to be conclusive.
   */
  CompletableFuture<StoreHeartbeats> query() {
    VoterSet voterSet = voters.get();
    OpaqueMessage request = PeerNotifier.message(PeerMessageKind.STORE_HEARTBEATS);
    PendingQuery pending = new PendingQuery(voterSet.voters.size());
    for (Voter voter : voterSet.voters) {
      if (voter.address.equals(localAddress)) {
        pending.onResponse(localHeartbeats.get());
      } else {
        rpcClient
            .call(voter.address, request, OpaqueMessage.class, CALL_TIMEOUT_MS)
            .thenApply(response -> StoreHeartbeats.decode(response.bytes))
            .whenComplete(
                (heartbeats, failure) -> pending.onResponse(failure == null ? heartbeats : null));
      }
    }
    if (voterSet.voters.isEmpty()) {
      pending.fail();
    }
    return pending.result;
  }

  /** The responses to one query. */
  private static final class PendingQuery {
    private final CompletableFuture<StoreHeartbeats> result = new CompletableFuture<>();
    private final Map<String, Long> heartbeatAgesMs = new TreeMap<>();
    private final int voterCount;
    private int conclusiveResponses;
    private int inconclusiveResponses;

    PendingQuery(int voterCount) {
      this.voterCount = voterCount;
    }

    /**
     * Counts one voter's response; null if the call failed. The heartbeats of an inconclusive
     * response are merged as well.
     */
    void onResponse(StoreHeartbeats heartbeats) {
      if (result.isDone()) {
        return;
      }
      if (heartbeats != null) {
        heartbeats
            .heartbeatAgesMs()
            .forEach((store, ageMs) -> heartbeatAgesMs.merge(store, ageMs, Math::min));
      }
      if (heartbeats != null && heartbeats.isConclusive()) {
        conclusiveResponses++;
      } else {
        inconclusiveResponses++;
      }
      if (conclusiveResponses >= VoterSets.majoritySize(voterCount)) {
        result.complete(new StoreHeartbeats(true, heartbeatAgesMs));
      } else if (inconclusiveResponses > voterCount - VoterSets.majoritySize(voterCount)) {
        fail();
      }
    }

    void fail() {
      result.completeExceptionally(
          new ElmsailException(
              ErrorCode.NO_QUORUM,
              "no majority has observed the stores for long enough, conclusive responses: "
                  + conclusiveResponses
                  + " of "
                  + voterCount));
    }
  }
}
