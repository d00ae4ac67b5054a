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
 * Asks the other voters which stores they have heard, so that a final refusal rests on what a
 * majority has heard and not on this process alone, which may be cut off from a store that all
 * others hear.
 */
final class StoreHeartbeatQuery {
  static final String KIND = "stores-heard";

  private static final long CALL_TIMEOUT_MS = 300;

  private final RpcClient caller;
  private final Supplier<VoterSet> voters;
  private final String localAddress;
  private Supplier<StoreHeartbeats> localHeartbeats = () -> new StoreHeartbeats(false, Map.of());

  StoreHeartbeatQuery(RpcClient caller, Supplier<VoterSet> voters, String localAddress) {
    this.caller = caller;
    this.voters = voters;
    this.localAddress = localAddress;
  }

  /** What this process has heard, as of when it is asked. */
  void setLocalHeartbeats(Supplier<StoreHeartbeats> localHeartbeats) {
    this.localHeartbeats = localHeartbeats;
  }

  /** The answer to another process's inquiry. */
  OpaqueMessage respond() {
    OpaqueMessage response = new OpaqueMessage();
    response.kind = KIND;
    response.bytes = localHeartbeats.get().encode();
    return response;
  }

  /**
   * All that a majority has heard, this process included. Fails with NOT_REACHED unless a majority
   * has listened for long enough to be sure.
   */
  CompletableFuture<StoreHeartbeats> query() {
    VoterSet voterSet = voters.get();
    OpaqueMessage request = new OpaqueMessage();
    request.kind = KIND;
    PendingQuery pending = new PendingQuery(voterSet.voters.size());
    for (Voter voter : voterSet.voters) {
      if (voter.address.equals(localAddress)) {
        pending.onResponse(localHeartbeats.get());
      } else {
        caller
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

  /** The answers to one inquiry. */
  private static final class PendingQuery {
    private final CompletableFuture<StoreHeartbeats> result = new CompletableFuture<>();
    private final Map<String, Long> heartbeatAgesMs = new TreeMap<>();
    private final int voterCount;
    private int conclusive;
    private int inconclusive;

    PendingQuery(int voterCount) {
      this.voterCount = voterCount;
    }

    /** Null: no answer. What an unsure voter has heard counts as well. */
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
        conclusive++;
      } else {
        inconclusive++;
      }
      if (conclusive >= VoterSets.majoritySize(voterCount)) {
        result.complete(new StoreHeartbeats(true, heartbeatAgesMs));
      } else if (inconclusive > voterCount - VoterSets.majoritySize(voterCount)) {
        fail();
      }
    }

    void fail() {
      result.completeExceptionally(
          new ElmsailException(ErrorCode.NO_QUORUM, "no majority is sure which stores are there"));
    }
  }
}
