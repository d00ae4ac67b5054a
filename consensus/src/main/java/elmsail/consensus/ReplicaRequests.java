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
 * The requests that a replica answers: votes, reads, blobs, joins of others and state transfer. An
 * answer leaves only once all that it relies on is safe on disk.
 */
final class ReplicaRequests {
  private static final Logger LOG = LoggerFactory.getLogger(ReplicaRequests.class);
  private static final int MOST_PAGE_BYTES = 1 << 20;

  private final String set;
  private final RecordStore records;
  private final RecordNames names;
  private final DurableRecords safe;
  private final ReplicaListener views;
  private final Membership membership;
  private final Replica replica;
  private final ReplicaCounters counters;
  private final Invariants invariants;

  ReplicaRequests(
      String set,
      RecordStore records,
      RecordNames names,
      DurableRecords safe,
      ReplicaListener views,
      Membership membership,
      Replica replica,
      ProcessMetrics metrics) {
    this.set = set;
    this.records = records;
    this.names = names;
    this.safe = safe;
    this.views = views;
    this.membership = membership;
    this.replica = replica;
    counters = new ReplicaCounters(metrics.counters());
    invariants = metrics.invariants();
  }

  void register(RequestHandlers answering) {
    answering.register(PrepareRequest.class, this::prepare);
    answering.register(AcceptRequest.class, this::accept);
    answering.register(ReadRequest.class, this::read);
    answering.register(BlobRequest.class, this::blob);
    answering.register(JoinRequest.class, this::joined);
    answering.register(StateTransferRequest.class, this::copied);
  }

  private CompletableFuture<VoteResponse> prepare(PrepareRequest request) {
    VoteResponse refused = refusal(request.set, request.voterSet);
    if (refused != null) {
      return CompletableFuture.completedFuture(refused);
    }
    Acceptor.Decision decision = Acceptor.prepare(state(request.key), request.ballot);
    if (decision.answer().code != VoteResponse.OK) {
      counters.refused(decision.answer().code);
      return CompletableFuture.completedFuture(decision.answer());
    }
    return safely(
        safe.changes(request.key, decision, request.blobs),
        () -> {
          if (request.sideEffect != null) {
            decision.answer().sideEffect = views.noted(request.key, request.sideEffect);
          }
          counters.preparesAnswered.add(1);
          return decision.answer();
        });
  }

  private CompletableFuture<VoteResponse> accept(AcceptRequest request) {
    VoteResponse refused = refusal(request.set, request.voterSet);
    if (refused != null) {
      return CompletableFuture.completedFuture(refused);
    }
    Acceptor.Decision decision =
        Acceptor.accept(state(request.key), request.ballot, request.nextBallot, request.value);
    if (decision.answer().code == VoteResponse.OK
        && decision.write() != null
        && !views.admits(request.key, request.value)) {
      VoteResponse response = new VoteResponse();
      response.code = VoteResponse.NOT_ADMITTED;
      counters.refused(response.code);
      return CompletableFuture.completedFuture(response);
    }
    if (decision.answer().code != VoteResponse.OK) {
      counters.refused(decision.answer().code);
      return CompletableFuture.completedFuture(decision.answer());
    }
    return safely(
        safe.changes(request.key, decision, request.blobs),
        () -> {
          if (decision.write() != null) {
            views.taken(request.key, request.value);
          }
          counters.acceptsAnswered.add(1);
          return decision.answer();
        });
  }

  private CompletableFuture<VoteResponse> read(ReadRequest request) {
    VoteResponse refused = refusal(request.set, request.voterSet);
    if (refused != null) {
      return CompletableFuture.completedFuture(refused);
    }
    VoteResponse response = Acceptor.read(state(request.key), request.knownBallot, request.ballotOnly);
    return safely(
        List.of(),
        () -> {
          counters.readsAnswered.add(1);
          return response;
        });
  }

  /** What is held of a key, checked. */
  private KeyState state(String key) {
    KeyState state = safe.state(key);
    check(invariants, set, key, state);
    return state;
  }

  static void check(Invariants invariants, String set, String key, KeyState state) {
    invariants.check(
        Invariant.ACCEPTED_BALLOT_PROMISED,
        Ballots.compare(state.accepted(), state.promised()) <= 0,
        () -> set + ": key " + key);
  }

  private CompletableFuture<BlobResponse> blob(BlobRequest request) {
    VoteResponse refused = refusal(request.set, request.voterSet);
    BlobResponse response = new BlobResponse();
    response.voting = refused == null || membership.serves(refused.code, request.allowReplaced);
    response.voterSet = refused == null ? response.voterSet : refused.voterSet;
    if (response.voting || refused.code == VoteResponse.STALE_VOTER_SET && membership.voting()) {
      response.bytes = replica.blob(request.key, request.name);
      response.found = response.bytes != null;
    }
    return response.found
        ? safely(List.of(), () -> response)
        : CompletableFuture.completedFuture(response);
  }

  private CompletableFuture<JoinResponse> joined(JoinRequest request) {
    if (!set.equals(request.set)) {
      return CompletableFuture.failedFuture(
          new ElmsailException(ErrorCode.NOT_A_VOTER, request.set));
    }
    replica.rewriteMembership();
    VoterSet before = membership.voterSet();
    JoinResponse response = membership.answer(request);
    if (membership.voterSet() != before) {
      LOG.info(
          "{}: slot {} taken by {}, epoch {}",
          set,
          request.slot,
          request.voter.address,
          request.voter.epoch);
      replica.voterSetChanged();
    }
    return safely(
        List.of(),
        () -> {
          response.voterSet = replica.voterSet();
          return response;
        });
  }

  private CompletableFuture<StateTransferResponse> copied(StateTransferRequest request) {
    StateTransferResponse response = new StateTransferResponse();
    response.instanceId = membership.instanceId();
    response.lastPage = true;
    VoteResponse refused =
        set.equals(request.set) ? refusal(request.set, request.voterSet) : new VoteResponse();
    if (refused != null && !membership.serves(refused.code, request.allowReplaced)) {
      return CompletableFuture.completedFuture(response);
    }
    response.voting = true;
    if (request.blobNamesOnly) {
      names.barePage(records, request.after, response);
    } else {
      names.page(
          records,
          request.after,
          Math.min(Math.max(request.maxBytes, 1), MOST_PAGE_BYTES),
          response);
    }
    return safely(List.of(), () -> response);
  }

  /**
   * Null if an ask under that voter set may be voted on; what it knows that is newer is taken
   * first.
   */
  private VoteResponse refusal(String askedSet, VoterSet asked) {
    if (!set.equals(askedSet)) {
      throw new ElmsailException(ErrorCode.NOT_A_VOTER, askedSet);
    }
    int code = membership.vote(asked);
    if (code != VoteResponse.STALE_VOTER_SET && VoterSets.newer(asked, membership.voterSet())) {
      replica.learn(asked);
      code = membership.vote(asked);
    }
    replica.rewriteMembership();
    if (code == VoteResponse.OK) {
      return null;
    }
    counters.refused(code);
    VoteResponse response = new VoteResponse();
    response.code = code;
    response.voterSet = replica.voterSet();
    return response;
  }

  private <A> CompletableFuture<A> safely(List<Change> changes, Supplier<A> answer) {
    if (!replica.membershipWritten()) {
      counters.refusedByDisk();
      return CompletableFuture.failedFuture(
          new ElmsailException(ErrorCode.STORAGE_FAILURE, "the voter set is not on disk"));
    }
    return safe.safely(changes, answer)
        .whenComplete(
            (given, failed) -> {
              if (failed != null) {
                counters.refusedByDisk();
              }
            });
  }
}
