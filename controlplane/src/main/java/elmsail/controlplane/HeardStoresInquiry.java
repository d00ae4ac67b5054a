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
final class HeardStoresInquiry {
  static final String KIND = "stores-heard";

  private static final long ANSWER_WITHIN_MS = 300;

  private final RpcClient caller;
  private final Supplier<VoterSet> voters;
  private final String ownAddress;
  private Supplier<HeardStores> own = () -> new HeardStores(false, Map.of());

  HeardStoresInquiry(RpcClient caller, Supplier<VoterSet> voters, String ownAddress) {
    this.caller = caller;
    this.voters = voters;
    this.ownAddress = ownAddress;
  }

  /** What this process has heard, as of when it is asked. */
  void heardHere(Supplier<HeardStores> heard) {
    own = heard;
  }

  /** The answer to another process's inquiry. */
  OpaqueMessage answer() {
    OpaqueMessage answer = new OpaqueMessage();
    answer.kind = KIND;
    answer.bytes = own.get().bytes();
    return answer;
  }

  /**
   * All that a majority has heard, this process included. Fails with NOT_REACHED unless a majority
   * has listened for long enough to be sure.
   */
  CompletableFuture<HeardStores> ask() {
    VoterSet asked = voters.get();
    OpaqueMessage request = new OpaqueMessage();
    request.kind = KIND;
    Round round = new Round(asked.voters.size());
    for (Voter voter : asked.voters) {
      if (voter.address.equals(ownAddress)) {
        round.take(own.get());
      } else {
        caller
            .call(voter.address, request, OpaqueMessage.class, ANSWER_WITHIN_MS)
            .thenApply(answer -> HeardStores.of(answer.bytes))
            .whenComplete((heard, failed) -> round.take(failed == null ? heard : null));
      }
    }
    if (asked.voters.isEmpty()) {
      round.fail();
    }
    return round.result;
  }

  /** The answers to one inquiry. */
  private static final class Round {
    private final CompletableFuture<HeardStores> result = new CompletableFuture<>();
    private final Map<String, Long> agoMs = new TreeMap<>();
    private final int voters;
    private int sure;
    private int unsure;

    Round(int voters) {
      this.voters = voters;
    }

    /** Null: no answer. What an unsure voter has heard counts as well. */
    void take(HeardStores heard) {
      if (result.isDone()) {
        return;
      }
      if (heard != null) {
        heard.agoMs().forEach((store, ago) -> agoMs.merge(store, ago, Math::min));
      }
      if (heard != null && heard.sure()) {
        sure++;
      } else {
        unsure++;
      }
      if (sure >= VoterSets.majoritySize(voters)) {
        result.complete(new HeardStores(true, agoMs));
      } else if (unsure > voters - VoterSets.majoritySize(voters)) {
        fail();
      }
    }

    void fail() {
      result.completeExceptionally(
          new ElmsailException(
              ErrorCode.NO_QUORUM, "no majority is sure which stores are there"));
    }
  }
}
