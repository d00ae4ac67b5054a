package elmsail.consensus;

import elmsail.rpc.RequestHandlers;
import elmsail.rpc.messages.AcceptRequest;
import elmsail.rpc.messages.BlobRequest;
import elmsail.rpc.messages.BlobResponse;
import elmsail.rpc.messages.JoinRequest;
import elmsail.rpc.messages.JoinResponse;
import elmsail.rpc.messages.PrepareRequest;
import elmsail.rpc.messages.ReadRequest;
import elmsail.rpc.messages.StateTransferRequest;
import elmsail.rpc.messages.StateTransferResponse;
import elmsail.rpc.messages.VoteResponse;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Invariant;
import elmsail.runtime.Invariants;
import elmsail.runtime.ProcessMetrics;
import elmsail.storage.RecordStore;
import elmsail.storage.RecordStore.Change;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles the requests to a replica: prepares, accepts, reads, reads of blobs, joins of other
 * instances and state transfers. A response is sent only when all records that it depends on are on
 * disk. Runs on the replica's event loop.
 */
final class ReplicaRequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger(ReplicaRequestHandler.class);

  private final String set;
  private final StateTransferPages pages;
  private final DurableRecords durableRecords;
  private final ReplicaListener listener;
  private final ReplicaMembership membership;
  private final Replica replica;
  private final DurableMembership durableMembership;
  private final ReplicaCounters counters;
  private final Invariants invariants;

  ReplicaRequestHandler(
      RecordStore records,
      RecordNames names,
      DurableRecords durableRecords,
      ReplicaListener listener,
      Replica replica,
      ProcessMetrics metrics) {
    set = names.set();
    pages = new StateTransferPages(records, names);
    this.durableRecords = durableRecords;
    this.listener = listener;
    this.replica = replica;
    membership = replica.membership;
    durableMembership = replica.durableMembership();
    counters = new ReplicaCounters(metrics.counters());
    invariants = metrics.invariants();
  }

  /** Registers the handlers of all requests to a replica. */
  void register(RequestHandlers handlers) {
    handlers.register(PrepareRequest.class, this::prepare);
    handlers.register(AcceptRequest.class, this::accept);
    handlers.register(ReadRequest.class, this::read);
    handlers.register(BlobRequest.class, this::readBlob);
    handlers.register(JoinRequest.class, this::join);
    handlers.register(StateTransferRequest.class, this::transferState);
  }

  private CompletableFuture<VoteResponse> prepare(PrepareRequest request) {
    VoteResponse refusal = refusal(request.set, request.voterSet);
    if (refusal != null) {
      return CompletableFuture.completedFuture(refusal);
    }
    Acceptor.Decision decision = Acceptor.prepare(checkedState(request.key), request.ballot);
    if (decision.response().code != VoteResponse.OK) {
      counters.refused(decision.response().code);
      return CompletableFuture.completedFuture(decision.response());
    }
    return respondOnceDurable(
        durableRecords.changes(request.key, decision, request.blobs),
        () -> {
          if (request.sideEffect != null) {
            decision.response().sideEffect = listener.onSideEffect(request.key, request.sideEffect);
          }
          counters.preparesAnswered.add(1);
          return decision.response();
        });
  }

  private CompletableFuture<VoteResponse> accept(AcceptRequest request) {
    VoteResponse refusal = refusal(request.set, request.voterSet);
    if (refusal != null) {
      return CompletableFuture.completedFuture(refusal);
    }
    Acceptor.Decision decision =
        Acceptor.accept(
            checkedState(request.key), request.ballot, request.nextBallot, request.value);
    if (decision.response().code == VoteResponse.OK
        && decision.newState() != null
        && !listener.admits(request.key, request.value)) {
      VoteResponse response = new VoteResponse();
      response.code = VoteResponse.NOT_ADMITTED;
      counters.refused(response.code);
      return CompletableFuture.completedFuture(response);
    }
    if (decision.response().code != VoteResponse.OK) {
      counters.refused(decision.response().code);
      return CompletableFuture.completedFuture(decision.response());
    }
    return respondOnceDurable(
        durableRecords.changes(request.key, decision, request.blobs),
        () -> {
          if (decision.newState() != null) {
            listener.onAccepted(request.key, request.value);
          }
          counters.acceptsAnswered.add(1);
          return decision.response();
        });
  }

  private CompletableFuture<VoteResponse> read(ReadRequest request) {
    VoteResponse refusal = refusal(request.set, request.voterSet);
    if (refusal != null) {
      return CompletableFuture.completedFuture(refusal);
    }
    VoteResponse response =
        Acceptor.read(checkedState(request.key), request.knownBallot, request.ballotOnly);
    return respondOnceDurable(
        List.of(),
        () -> {
          counters.readsAnswered.add(1);
          return response;
        });
  }

  /** The state of a key, after a check of its invariant. */
  private AcceptorState checkedState(String key) {
    AcceptorState state = durableRecords.state(key);
    checkInvariant(invariants, set, key, state);
    return state;
  }

  /** Reports a violation if the accepted ballot is higher than the promised one. */
  static void checkInvariant(Invariants invariants, String set, String key, AcceptorState state) {
    invariants.check(
        Invariant.ACCEPTED_BALLOT_PROMISED,
        Ballots.compare(state.accepted(), state.promised()) <= 0,
        () -> set + ": key " + key);
  }

  private CompletableFuture<BlobResponse> readBlob(BlobRequest request) {
    VoteResponse refusal = refusal(request.set, request.voterSet);
    BlobResponse response = new BlobResponse();
    response.voting =
        refusal == null || membership.servesTransfer(refusal.code, request.allowReplaced);
    response.voterSet = refusal == null ? response.voterSet : refusal.voterSet;
    if (response.voting || refusal.code == VoteResponse.STALE_VOTER_SET && membership.isVoting()) {
      response.bytes = replica.blob(request.key, request.name);
      response.found = response.bytes != null;
    }
    return response.found
        ? respondOnceDurable(List.of(), () -> response)
        : CompletableFuture.completedFuture(response);
  }

  private CompletableFuture<JoinResponse> join(JoinRequest request) {
    if (!set.equals(request.set)) {
      return CompletableFuture.failedFuture(
          new ElmsailException(ErrorCode.NOT_A_VOTER, request.set));
    }
    durableMembership.rewriteIfFailed();
    VoterSet before = membership.voterSet();
    JoinResponse response = membership.respond(request);
    if (membership.voterSet() != before) {
      LOG.info(
          "voter slot taken over: set={} slot={} address={} epoch={}",
          set,
          request.slot,
          request.voter.address,
          request.voter.epoch);
      replica.onVoterSetChanged();
    }
    return respondOnceDurable(
        List.of(),
        () -> {
          response.voterSet = durableMembership.voterSet();
          return response;
        });
  }

  private CompletableFuture<StateTransferResponse> transferState(StateTransferRequest request) {
    StateTransferResponse response = new StateTransferResponse();
    response.instanceId = membership.instanceId();
    response.lastPage = true;
    VoteResponse refusal =
        set.equals(request.set) ? refusal(request.set, request.voterSet) : new VoteResponse();
    if (refusal != null && !membership.servesTransfer(refusal.code, request.allowReplaced)) {
      return CompletableFuture.completedFuture(response);
    }
    response.voting = true;
    if (request.blobNamesOnly) {
      pages.fillBlobNames(response, request.after);
    } else {
      pages.fill(response, request.after, request.maxBytes);
    }
    return respondOnceDurable(List.of(), () -> response);
  }

  /**
   * Decides whether this replica may vote on a request with this voter set. A newer voter set is
   * learned first.
   *
   * @return the refusal, with the voter set known here; null if the replica may vote
   */
  private VoteResponse refusal(String requestSet, VoterSet requestVoterSet) {
    if (!set.equals(requestSet)) {
      throw new ElmsailException(ErrorCode.NOT_A_VOTER, requestSet);
    }
    int code = membership.voteCode(requestVoterSet);
    if (code != VoteResponse.STALE_VOTER_SET
        && VoterSets.isNewer(requestVoterSet, membership.voterSet())) {
      replica.learn(requestVoterSet);
      code = membership.voteCode(requestVoterSet);
    }
    durableMembership.rewriteIfFailed();
    if (code == VoteResponse.OK) {
      return null;
    }
    counters.refused(code);
    VoteResponse response = new VoteResponse();
    response.code = code;
    response.voterSet = durableMembership.voterSet();
    return response;
  }

  /** As {@link DurableRecords#respondOnceDurable}, but fails if the voter set is not written. */
  private <A> CompletableFuture<A> respondOnceDurable(List<Change> changes, Supplier<A> response) {
    if (!durableMembership.isWritten()) {
      counters.refusedOnFailedWrite();
      return CompletableFuture.failedFuture(
          new ElmsailException(ErrorCode.STORAGE_FAILURE, set + ": the voter set is not on disk"));
    }
    return durableRecords
        .respondOnceDurable(changes, response)
        .whenComplete(
            (none, failure) -> {
              if (failure != null) {
                counters.refusedOnFailedWrite();
              }
            });
  }
}
