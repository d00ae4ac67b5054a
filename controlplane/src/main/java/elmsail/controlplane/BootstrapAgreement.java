package elmsail.controlplane;

import elmsail.rpc.RequestHandlers;
import elmsail.rpc.RpcClient;
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
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The seeds' agreement on the initial control-plane voters, by a majority of the seeds. A seed
 * without a disk keeps its promises in memory. After a restart such a seed no longer takes part in
 * the first start and rejects all requests of the agreement, so it cannot break a promise that it
 * lost. Runs on the event loop.
 */
final class BootstrapAgreement {
  private static final String RECORD = "head-founding";
  private static final long CALL_TIMEOUT_MS = 400;
  private static final long RETRY_DELAY_MS = 200;

  /** Within a round, so that one lost message does not cost the round. */
  private static final long RESEND_DELAY_MS = 150;

  private static final int MAX_SENDS = 3;

  /**
   * Extra delay per seed index before each round, so that the seeds do not keep preempting each
   * other's ballots.
   */
  private static final long DELAY_PER_SEED_MS = 170;

  private final RpcClient rpcClient;
  private final Timers timers;
  private final RecordStore records;
  private final List<String> seeds;
  private final int localSeedIndex;
  private final Consumer<VoterSet> agreedListener;
  private final BootstrapAcceptor acceptor;
  private final BootstrapProposer proposer;
  private long nextRoundAtMs = Long.MIN_VALUE;

  /**
   * Creates an agreement that proposes nothing before {@link #propose}.
   *
   * @param records on this process's disk; null if it has none
   * @param seeds RPC addresses of all seeds, in the same order at each of them
   * @param processId of this process, for its ballots
   * @param agreedListener called with the voter set once this seed has seen a majority accept it
   */
  BootstrapAgreement(
      RpcClient rpcClient,
      Timers timers,
      RecordStore records,
      List<String> seeds,
      String localAddress,
      long processId,
      Consumer<VoterSet> agreedListener) {
    this.rpcClient = rpcClient;
    this.timers = timers;
    this.records = records;
    this.seeds = seeds;
    this.localSeedIndex = seeds.indexOf(localAddress);
    this.agreedListener = agreedListener;
    acceptor = BootstrapAcceptor.decode(records == null ? null : records.read(RECORD));
    proposer = new BootstrapProposer(seeds.size(), localSeedIndex, processId);
  }

  /**
   * Registers the handler of proposers' requests. The handler rejects all requests unless this
   * process is a seed that takes part in the first start.
   */
  void registerVoteHandler(RequestHandlers handlers, boolean isFromFirstStart) {
    handlers.register(
        FoundingRequest.class,
        request ->
            isFromFirstStart && localSeedIndex >= 0
                ? handle(request)
                : CompletableFuture.failedFuture(
                    new ElmsailException(
                        ErrorCode.NOT_A_VOTER,
                        "not voting on the initial voter set: not a seed of the first start")));
  }

  private CompletableFuture<FoundingResponse> handle(FoundingRequest request) {
    FoundingResponse response =
        request.accept
            ? acceptor.accept(request.ballot, request.proposal)
            : acceptor.prepare(request.ballot);
    return records == null || !response.granted
        ? CompletableFuture.completedFuture(response)
        : records
            .write(List.of(new Change(RECORD, acceptor.encode())))
            .thenApply(written -> response);
  }

  /** Starts a round unless the previous round may still succeed. */
  void propose(VoterSet candidateVoterSet) {
    long now = timers.now();
    if (nextRoundAtMs == Long.MIN_VALUE) {
      nextRoundAtMs = now + localSeedIndex * DELAY_PER_SEED_MS;
    }
    if (now < nextRoundAtMs) {
      return;
    }
    nextRoundAtMs = now + CALL_TIMEOUT_MS + RETRY_DELAY_MS + localSeedIndex * DELAY_PER_SEED_MS;
    long ballot = proposer.startRound(candidateVoterSet);
    sendToSeeds(
        prepareRequest(ballot), (seed, response) -> onPrepareResponse(seed, ballot, response));
  }

  /** Sends a request to all seeds, and repeatedly to those that have not granted it. */
  private void sendToSeeds(
      FoundingRequest request, BiConsumer<Integer, FoundingResponse> responseHandler) {
    for (int seed = 0; seed < seeds.size(); seed++) {
      for (int i = 0; i < MAX_SENDS; i++) {
        int target = seed;
        timers.schedule(i * RESEND_DELAY_MS, () -> send(target, request, responseHandler));
      }
    }
  }

  private void send(
      int seed, FoundingRequest request, BiConsumer<Integer, FoundingResponse> responseHandler) {
    if (proposer.awaitsGrant(seed, request.ballot, request.accept)) {
      call(seed, request).thenAccept(response -> responseHandler.accept(seed, response));
    }
  }

  private void onPrepareResponse(int seed, long ballot, FoundingResponse response) {
    proposer
        .onPrepareResponse(seed, ballot, response)
        .ifPresent(proposal -> sendAccept(ballot, proposal));
  }

  private void sendAccept(long ballot, VoterSet proposal) {
    sendToSeeds(
        acceptRequest(ballot, proposal),
        (seed, response) -> onAcceptResponse(seed, ballot, response));
  }

  private void onAcceptResponse(int seed, long ballot, FoundingResponse response) {
    proposer.onAcceptResponse(seed, ballot, response).ifPresent(agreedListener);
  }

  private static FoundingRequest prepareRequest(long ballot) {
    FoundingRequest request = new FoundingRequest();
    request.ballot = ballot;
    return request;
  }

  private static FoundingRequest acceptRequest(long ballot, VoterSet proposal) {
    FoundingRequest request = prepareRequest(ballot);
    request.accept = true;
    request.proposal = proposal;
    return request;
  }

  private CompletableFuture<FoundingResponse> call(int seed, FoundingRequest request) {
    return seed == localSeedIndex
        ? handle(request)
        : rpcClient.call(seeds.get(seed), request, FoundingResponse.class, CALL_TIMEOUT_MS);
  }
}
