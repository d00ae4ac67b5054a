package elmsail.batch.client;

import elmsail.config.ClusterState;
import elmsail.consensus.Register;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.OpaqueMessage;
import elmsail.rpc.messages.Voter;
import elmsail.runtime.Invariants;
import elmsail.runtime.Timers;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;

/**
 * What a gateway's parts work with, all on the loop.
 *
 * @param localAddress this gateway's inner address
 * @param cancelMs within which no item of an ended job may be sent any more
 * @param counters what is counted of jobs here
 * @param invariants what must hold of them
 */
public record BatchContext(
    Register register,
    RpcClient caller,
    Timers timers,
    ClusterState clusterState,
    String localAddress,
    Random random,
    long cancelMs,
    BatchCounters counters,
    Invariants invariants) {

  /** The voters of the store set that is known at present; empty before there is one. */
  public List<Voter> stores() {
    return clusterState.view().jobStoreVoters.voters;
  }

  /** How many stores are a majority; 1 where there are none, so that nothing is ever agreed. */
  public int majority() {
    return stores().size() / 2 + 1;
  }

  /**
   * Asks every store; {@code listener} gets a null for each that gave no answer, so as many as
   * there are.
   */
  public void callStores(
      OpaqueMessage request, long timeoutMs, BiConsumer<Voter, OpaqueMessage> listener) {
    callEach(stores(), request, timeoutMs, listener);
  }

  /** Asks these stores likewise. */
  public void callEach(
      List<Voter> stores,
      OpaqueMessage request,
      long timeoutMs,
      BiConsumer<Voter, OpaqueMessage> listener) {
    for (Voter store : stores) {
      caller
          .call(store.address, request, OpaqueMessage.class, timeoutMs)
          .whenComplete(
              (response, failure) ->
                  listener.accept(
                      store,
                      failure == null && request.kind.equals(response.kind) ? response : null));
    }
  }

  /** Between half as long and half again. */
  public long jittered(long ms) {
    return ms / 2 + (long) (random.nextDouble() * ms);
  }
}
