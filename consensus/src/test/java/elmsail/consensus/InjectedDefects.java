package elmsail.consensus;

import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.AcceptRequest;
import elmsail.rpc.messages.JoinRequest;
import elmsail.rpc.messages.JoinResponse;
import elmsail.rpc.messages.StateTransferRequest;
import elmsail.rpc.messages.StateTransferResponse;
import elmsail.rpc.messages.VoteResponse;
import elmsail.rpc.messages.VoterSet;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongFunction;

/** Random histories with injected defects, which the checker has to detect. */
final class InjectedDefects {
  private InjectedDefects() {}

  /** Replicas send each response before its write is durable. */
  static RandomHistory responseBeforeSync(long seed) {
    RandomHistory history = new RandomHistory(seed);
    history.onNodeCreated = node -> node.disk.completesBeforeSync = true;
    return history;
  }

  /** A replica whose disk lost the keys continues to vote as the same instance. */
  static RandomHistory voteAfterDiskLoss(long seed) {
    RandomHistory history = new RandomHistory(seed);
    history.onDiskWiped =
        (node, before) -> {
          node.disk.instanceId = before.instanceId;
          node.disk.everOpened = true;
          for (String kept : new String[] {"set/seating", "set/seated"}) {
            node.disk.durable.put(kept, before.durable.get(kept));
          }
        };
    return history;
  }

  /** A claim that one voter acknowledged counts as if both voters had acknowledged it. */
  static RandomHistory joinWithOneAcknowledgement(long seed) {
    RandomHistory history = new RandomHistory(seed);
    FaultyCluster cluster = history.cluster;
    cluster.replicaClientWrapper =
        rpcClient ->
            new RpcClient() {
              @Override
              public <A> CompletableFuture<A> call(
                  String peer, Object request, Class<A> responseType, long timeoutMs) {
                VoterSet newest = cluster.newestVoterSet();
                int last = -1;
                for (int i = 0; i < newest.voters.size(); i++) {
                  boolean other = !(request instanceof JoinRequest join) || join.slot != i;
                  String address = newest.voters.get(i).address;
                  if (other
                      && (last < 0 || address.compareTo(newest.voters.get(last).address) > 0)) {
                    last = i;
                  }
                }
                if (last >= 0 && newest.voters.get(last).address.equals(peer)) {
                  CompletableFuture<A> response = new CompletableFuture<>();
                  if (request instanceof JoinRequest join) {
                    JoinResponse acknowledgement = new JoinResponse();
                    acknowledgement.accepted = true;
                    acknowledgement.voterSet = VoterSets.withVoter(newest, join.slot, join.voter);
                    cluster.timers.schedule(
                        1, () -> response.complete(responseType.cast(acknowledgement)));
                    return response;
                  }
                  if (request instanceof StateTransferRequest) {
                    StateTransferResponse empty = new StateTransferResponse();
                    empty.voting = true;
                    empty.lastPage = true;
                    empty.instanceId = newest.voters.get(last).instanceId;
                    cluster.timers.schedule(1, () -> response.complete(responseType.cast(empty)));
                    return response;
                  }
                }
                return rpcClient.call(peer, request, responseType, timeoutMs);
              }
            };
    return history;
  }

  /** Clients behave as if the absence on which a change is declined were committed already. */
  static RandomHistory declineWithoutWrite(long seed) {
    RandomHistory history = new RandomHistory(seed).withDeclinedChanges();
    FaultyCluster cluster = history.cluster;
    history.rpcClientWrapper =
        rpcClient ->
            new RpcClient() {
              @Override
              public <A> CompletableFuture<A> call(
                  String peer, Object request, Class<A> responseType, long timeoutMs) {
                if (!(request instanceof AcceptRequest accept) || accept.value != null) {
                  return rpcClient.call(peer, request, responseType, timeoutMs);
                }
                VoteResponse accepted = new VoteResponse();
                accepted.accepted = accept.ballot;
                accepted.promised = accept.ballot;
                CompletableFuture<A> response = new CompletableFuture<>();
                cluster.timers.schedule(1, () -> response.complete(responseType.cast(accepted)));
                return response;
              }
            };
    return history;
  }

  /** All defects by name. */
  static Map<String, LongFunction<RandomHistory>> all() {
    return Map.of(
        "responds before the sync",
        InjectedDefects::responseBeforeSync,
        "responds to relayed prepares before the sync",
        seed -> responseBeforeSync(seed).withLargeBlobs(),
        "votes after disk loss",
        InjectedDefects::voteAfterDiskLoss,
        "join with one acknowledgement",
        InjectedDefects::joinWithOneAcknowledgement,
        "declines without a write",
        InjectedDefects::declineWithoutWrite);
  }
}
