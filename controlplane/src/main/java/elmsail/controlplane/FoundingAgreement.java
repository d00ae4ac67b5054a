package elmsail.controlplane;

import elmsail.rpc.RpcClient;
import elmsail.rpc.RequestHandlers;
import elmsail.rpc.messages.FoundingRequest;
import elmsail.rpc.messages.FoundingResponse;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import elmsail.storage.RecordStore;
import elmsail.storage.RecordStore.Change;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * The seeds' single agreement on the first voters of "head", decided by a majority of the seeds. A
 * seed without a disk votes from memory: an instance that was started again is not of the first
 * start, and votes no more.
 */
final class FoundingAgreement {
  private static final String RECORD = "head-founding";
  private static final long CALL_MS = 400;
  private static final long AGAIN_MS = 200;

  /** Later seeds begin and repeat later, so that rounds don't outbid each other for long. */
  private static final long LATER_MS = 170;

  private final RpcClient caller;
  private final Timers timers;
  private final RecordStore records;
  private final List<String> seeds;
  private final int ownSeed;
  private final Consumer<VoterSet> decided;
  private final FoundingAcceptor acceptor;
  private final FoundingProposer proposer;
  private long nextAt = Long.MIN_VALUE;

  /**
   * Makes one.
   *
   * @param records null where there is no disk
   * @param decided told what this seed saw decided
   */
  FoundingAgreement(
      RpcClient caller,
      Timers timers,
      RecordStore records,
      List<String> seeds,
      String ownAddress,
      Consumer<VoterSet> decided) {
    this.caller = caller;
    this.timers = timers;
    this.records = records;
    this.seeds = seeds;
    this.ownSeed = seeds.indexOf(ownAddress);
    this.decided = decided;
    acceptor = FoundingAcceptor.of(records == null ? null : records.read(RECORD));
    proposer = new FoundingProposer(seeds.size(), ownSeed);
  }

  /** Votes from now on, if this instance is a seed's of the first start. */
  void vote(RequestHandlers answering, boolean ofFirstStart) {
    answering.register(
        FoundingRequest.class,
        request ->
            ofFirstStart && ownSeed >= 0
                ? answer(request)
                : CompletableFuture.failedFuture(
                    new ElmsailException(ErrorCode.NOT_A_VOTER, "no vote on the founding")));
  }

  private CompletableFuture<FoundingResponse> answer(FoundingRequest request) {
    FoundingResponse response =
        request.accept
            ? acceptor.accept(request.ballot, request.proposal)
            : acceptor.prepare(request.ballot);
    return records == null || !response.granted
        ? CompletableFuture.completedFuture(response)
        : records
            .write(List.of(new Change(RECORD, acceptor.bytes())))
            .thenApply(written -> response);
  }

  /** Begins a round, unless one is under way. */
  void propose(VoterSet wanted) {
    long now = timers.now();
    if (nextAt == Long.MIN_VALUE) {
      nextAt = now + ownSeed * LATER_MS;
    }
    if (now < nextAt) {
      return;
    }
    nextAt = now + CALL_MS + AGAIN_MS + ownSeed * LATER_MS;
    long ballot = proposer.begin(wanted);
    for (int i = 0; i < seeds.size(); i++) {
      int seed = i;
      send(seed, ballot, null).thenAccept(response -> promised(seed, ballot, response));
    }
  }

  private void promised(int seed, long ballot, FoundingResponse response) {
    VoterSet proposal = proposer.promised(seed, ballot, response);
    for (int i = 0; proposal != null && i < seeds.size(); i++) {
      int other = i;
      send(other, ballot, proposal).thenAccept(answer -> accepted(other, ballot, answer));
    }
  }

  private void accepted(int seed, long ballot, FoundingResponse response) {
    VoterSet decision = proposer.accepted(seed, ballot, response);
    if (decision != null) {
      decided.accept(decision);
    }
  }

  private CompletableFuture<FoundingResponse> send(int seed, long ballot, VoterSet proposal) {
    FoundingRequest request = new FoundingRequest();
    request.ballot = ballot;
    request.accept = proposal != null;
    request.proposal = proposal == null ? request.proposal : proposal;
    return seed == ownSeed
        ? answer(request)
        : caller.call(seeds.get(seed), request, FoundingResponse.class, CALL_MS);
  }
}
